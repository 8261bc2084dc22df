package store

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// goldenCore runs the replicas of a core on one clock, each with a FileLog.
type goldenCore struct {
	t          *testing.T
	root       string // the folder that holds the data folders
	now        time.Duration
	tickOrder  []string                         // names of the members, in the order of their ticks
	members    map[string]*Replica              // the replicas, by member name
	logs       map[string]*FileLog              // the open logs, by member name
	down       map[string]bool                  // members that neither tick nor send nor receive, by name
	holdWrites bool                             // writes are collected in heldWrites instead of being carried out
	heldWrites []Persist                        // the collected writes, in order
	replies    map[string]*schema.ProposalReply // the replies to proposals, by change id
}

// newGoldenCore returns a core without members whose data folders are under root.
func newGoldenCore(t *testing.T, root string) *goldenCore {
	t.Helper()
	core := &goldenCore{
		t:       t,
		root:    root,
		members: map[string]*Replica{},
		logs:    map[string]*FileLog{},
		down:    map[string]bool{},
		replies: map[string]*schema.ProposalReply{},
	}
	t.Cleanup(core.close)
	return core
}

// goldenConfig returns the configuration of a member; a founder has Founders set at its first start too.
func goldenConfig(name string) Config {
	return Config{
		Name:                  name,
		Address:               "10.0.0." + name,
		Seeds:                 []string{"a", "b", "c"},
		ToleratedLosses:       0,
		NewIncarnation:        func() uint64 { return 99 },
		HeartbeatTimeout:      1500 * time.Millisecond,
		StallTimeout:          2 * time.Second,
		MaxEntries:            8,
		MaxOutcomes:           64,
		MaxUncommittedEntries: 16,
		MaxOperatorTombstones: 12,
	}
}

// start starts a member from its data folder. An empty folder gets an initial record with the given incarnation.
func (c *goldenCore) start(name string, incarnation uint64, founders ...string) {
	c.t.Helper()
	cfg := goldenConfig(name)
	cfg.Founders = founders
	log, records, err := Open(filepath.Join(c.root, "member-"+name))
	if err != nil {
		c.t.Fatalf("Open of the log of %s = %v, want nil", name, err)
	}
	if len(records) == 0 {
		records = []*schema.Record{InitialRecord(cfg, incarnation)}
		if err := log.Write(records, true); err != nil {
			c.t.Fatalf("Write of the initial record of %s = %v, want nil", name, err)
		}
	}
	cfg.Founders = nil
	c.members[name], c.logs[name] = NewReplica(cfg, 0, records), log
	if !slices.Contains(c.tickOrder, name) {
		c.tickOrder = append(c.tickOrder, name)
	}
}

// close closes the members' logs, so that their folders can be read, or opened by another core.
func (c *goldenCore) close() {
	for _, name := range slices.Sorted(maps.Keys(c.logs)) {
		if err := c.logs[name].Close(); err != nil {
			c.t.Errorf("Close of the log of %s = %v, want nil", name, err)
		}
	}
	c.logs = map[string]*FileLog{}
}

// execute carries out the actions of a member, and recursively those that result from them.
func (c *goldenCore) execute(from string, actions []Action) {
	c.t.Helper()
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			if to := typed.Message.To; c.members[to] != nil && !c.down[to] && !c.down[from] {
				c.execute(to, c.members[to].Step(c.now, proto.Clone(typed.Message).(*schema.ReplicaMessage)))
			}
		case Persist:
			if c.holdWrites {
				c.heldWrites = append(c.heldWrites, typed)
				continue
			}
			c.write(from, typed)
		case Reply:
			c.replies[typed.Result.Ticket] = typed.Result
		}
	}
}

// write writes the records of several Persists of a member as one group, and reports to the member that they are durable.
func (c *goldenCore) write(at string, writes ...Persist) {
	c.t.Helper()
	var records []*schema.Record
	for _, write := range writes {
		records = append(records, write.Record)
	}
	last := writes[len(writes)-1]
	if err := c.logs[at].Write(records, last.ReplacesLog); err != nil {
		c.t.Fatalf("Write of %d records at %s = %v, want nil", len(records), at, err)
	}
	c.execute(at, c.members[at].Persisted(c.now, last.WriteID))
}

// advance runs the core for a time span, with a tick of each member every 75 ms.
func (c *goldenCore) advance(span time.Duration) {
	c.t.Helper()
	for end := c.now + span; c.now < end; c.now += 75 * time.Millisecond {
		for _, name := range c.tickOrder {
			if !c.down[name] {
				c.execute(name, c.members[name].Tick(c.now))
			}
		}
	}
}

// propose proposes a change at a member. The reply is stored under the change's id.
func (c *goldenCore) propose(at string, change *schema.Change) {
	c.t.Helper()
	c.execute(at, c.members[at].Propose(c.now, &schema.Proposal{Ticket: change.Id, Change: change}))
}

// expectRuling proposes a change at a member and checks the ruling on it.
func (c *goldenCore) expectRuling(at string, want schema.Ruling, change *schema.Change) {
	c.t.Helper()
	c.propose(at, change)
	if got := c.replies[change.Id].GetOutcome(); got.GetRuling() != want {
		c.t.Fatalf("Propose(%q) at %s got reply %v, want ruling %v", change.Id, at, c.replies[change.Id], want)
	}
}

// goldenItem returns an item to write; operatorVersion is 0 for an item without one.
func goldenItem(kind, name string, operatorVersion uint64, body string) *schema.Item {
	return &schema.Item{Kind: kind, Name: name, OperatorVersion: operatorVersion, Body: []byte(body)}
}

// goldenFlag returns the flag of the rollout, with the weight of version 2 in thousandths of a percent.
func goldenFlag(weight int) *schema.Item {
	return goldenItem("flag", "release.shop", 0, fmt.Sprintf(`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,`+
		`"fallthrough":{"rollout":{"variations":[{"variation":1,"weight":%d},{"variation":0,"weight":%d}]}}}`, weight, 100000-weight))
}

// goldenProgress returns the progress of the rollout as a controller of the term duty writes it. weight is that of
// goldenFlag.
func goldenProgress(duty int, state string, weight int, elapsed time.Duration) *schema.Item {
	return goldenItem("progress", "shop", 0, fmt.Sprintf(`{"duty":%d,"holder":"a","set":"shop 3","state":%q,"reason":"the version is known","share":%d,"weight":%d,"elapsed":%d,"from":"1","since":7}`,
		duty, state, weight/1000, weight, elapsed))
}

// changeExpecting returns a change of items that expects the given stored sequences, 0 for an item that does not exist.
func changeExpecting(id string, items []*schema.Item, sequences ...uint64) *schema.Change {
	change := &schema.Change{Id: id, Items: items}
	for i, sequence := range sequences {
		change.Expected = append(change.Expected, &schema.ExpectedVersion{Kind: items[i].Kind, Name: items[i].Name, Sequence: sequence})
	}
	return change
}

// sequenceOf returns the sequence at which an item was last written, in the committed state of a member.
func (c *goldenCore) sequenceOf(at, kind, name string) uint64 {
	_, state := c.members[at].Committed()
	return state[config.Key(kind, name)].GetVersion().GetSequence()
}

// writeGoldenCore writes the folders member-a, member-b and member-d by taking a core through the recorded steps.
func writeGoldenCore(t *testing.T, root string) {
	t.Helper()
	const accepted = schema.Ruling_RULING_ACCEPTED
	c := newGoldenCore(t, root)
	for i, name := range []string{"a", "b", "c"} {
		c.start(name, uint64(11+i), "a", "b", "c")
	}
	c.advance(5 * time.Second)
	c.expectRuling("a", accepted, changeExpecting("shop", []*schema.Item{
		goldenItem("service", "shop", 0, `{"versions":["1","2"],"fallback":"1"}`), goldenFlag(0), goldenItem("route", "buy", 0, `{"service":"shop","prefix":"/buy"}`)}))
	c.expectRuling("b", accepted, &schema.Change{Id: "given", ByOperatorVersion: true, Items: []*schema.Item{
		{Kind: "segment", Name: "testers", OperatorVersion: 5, Body: []byte(`{"salt":"t","included":["ann"]}`), OperatorBody: []byte(`{"spec":{"salt":"t"}}`)},
		goldenItem("segment", "old", 6, `{"salt":"o"}`)}})
	c.expectRuling("a", accepted, changeExpecting("plain", []*schema.Item{goldenItem("segment", "plain", 0, `{"salt":"p"}`)}))
	c.expectRuling("a", accepted, &schema.Change{Id: "dropped-given", ByOperatorVersion: true, Items: []*schema.Item{{Kind: "segment", Name: "old", OperatorVersion: 8, Deleted: true}}})
	c.expectRuling("a", schema.Ruling_RULING_INVALID, changeExpecting("wrong", []*schema.Item{goldenItem("segment", "wrong", 0, `{"colour":"red"}`)}))
	c.expectRuling("b", schema.Ruling_RULING_CONFLICT, changeExpecting("late", []*schema.Item{goldenItem("segment", "plain", 0, `{"salt":"q"}`)}))
	// c is lost permanently, and d replaces it.
	c.down["c"] = true
	c.start("d", 14)
	c.advance(6 * time.Second)
	c.expectRuling("d", accepted, changeExpecting("release", []*schema.Item{goldenItem("release", "shop", 0, `{"service":"shop","version":"2","target":50,"over":"10m","pace":"go"}`)}))
	c.expectRuling("a", accepted, changeExpecting("trial", []*schema.Item{goldenFlag(10000), goldenProgress(2, "trial", 10000, 0)}, c.sequenceOf("a", "flag", "release.shop"), 0))
	c.expectRuling("a", accepted, changeExpecting("dropped-plain", []*schema.Item{{Kind: "segment", Name: "plain", Deleted: true}}, c.sequenceOf("a", "segment", "plain")))
	c.expectRuling("a", schema.Ruling_RULING_STALE, changeExpecting("stale", []*schema.Item{goldenProgress(1, "ramp", 20000, 0)}, c.sequenceOf("a", "progress", "shop")))
	// Leadership moves to b and back, so that the logs have votes and terms after the snapshot.
	c.down["a"] = true
	c.advance(4 * time.Second)
	c.down["a"] = false
	c.advance(5 * time.Second)
	c.expectRuling("b", accepted, changeExpecting("ramp", []*schema.Item{goldenFlag(25000), goldenProgress(3, "ramp", 25000, 150*time.Second)},
		c.sequenceOf("b", "flag", "release.shop"), c.sequenceOf("b", "progress", "shop")))
	c.advance(time.Second)
	c.close()
	if err := os.RemoveAll(filepath.Join(root, "member-c")); err != nil {
		t.Fatal(err)
	}
}

// writeGoldenSingle writes the folders of a single founder: born after its start, and torn later, with a torn last frame.
func writeGoldenSingle(t *testing.T, root string) {
	t.Helper()
	c := newGoldenCore(t, root)
	c.start("l", 21, "l")
	copyTo := func(name string) {
		t.Helper()
		for file, data := range readFolder(t, filepath.Join(root, "member-l"), "") {
			if err := os.MkdirAll(filepath.Join(root, name), 0o750); err != nil {
				t.Fatal(err)
			}
			if name == "torn" {
				data = data[:len(data)-9]
			}
			if err := os.WriteFile(filepath.Join(root, name, file), data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	copyTo("born")
	c.advance(5 * time.Second)
	c.holdWrites = true
	for _, id := range []string{"one", "two"} {
		c.propose("l", changeExpecting(id, []*schema.Item{goldenItem("segment", id, 0, `{"salt":""}`)}))
	}
	c.holdWrites = false
	c.write("l", c.heldWrites...)
	c.expectRuling("l", schema.Ruling_RULING_ACCEPTED, changeExpecting("torn", []*schema.Item{goldenItem("segment", "torn", 0, `{"salt":""}`)}))
	c.close()
	copyTo("torn")
	if err := os.RemoveAll(filepath.Join(root, "member-l")); err != nil {
		t.Fatal(err)
	}
}
