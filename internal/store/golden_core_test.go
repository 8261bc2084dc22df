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
	root       string
	now        time.Duration
	names      []string // in the order of ticks
	members    map[string]*Replica
	disks      map[string]*FileLog
	down       map[string]bool
	holdWrites bool // records wait, to be written as one group
	heldWrites []Persist
	replies    map[string]*schema.ProposalReply
}

// newGoldenCore makes a core without members whose data folders are under root.
func newGoldenCore(t *testing.T, root string) *goldenCore {
	t.Helper()
	core := &goldenCore{
		t:       t,
		root:    root,
		members: map[string]*Replica{},
		disks:   map[string]*FileLog{},
		down:    map[string]bool{},
		replies: map[string]*schema.ProposalReply{},
	}
	t.Cleanup(core.close)
	return core
}

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

// start starts a member from its data folder; an empty one gets an initial record with the incarnation given.
func (c *goldenCore) start(name string, incarnation uint64, founders ...string) {
	c.t.Helper()
	cfg := goldenConfig(name)
	cfg.Founders = founders
	disk, records, err := Open(filepath.Join(c.root, "member-"+name))
	if err != nil {
		c.t.Fatal(err)
	}
	if len(records) == 0 {
		records = []*schema.Record{InitialRecord(cfg, incarnation)}
		if err := disk.Write(records, true); err != nil {
			c.t.Fatal(err)
		}
	}
	cfg.Founders = nil
	c.members[name], c.disks[name] = NewReplica(cfg, 0, records), disk
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
}

// close closes the members' logs; their folders can then be read or opened by another core.
func (c *goldenCore) close() {
	for _, name := range slices.Sorted(maps.Keys(c.disks)) {
		if err := c.disks[name].Close(); err != nil {
			c.t.Error(err)
		}
	}
	c.disks = map[string]*FileLog{}
}

func (c *goldenCore) act(from string, actions []Action) {
	c.t.Helper()
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			if to := typed.Message.To; c.members[to] != nil && !c.down[to] && !c.down[from] {
				c.act(to, c.members[to].Step(c.now, proto.Clone(typed.Message).(*schema.ReplicaMessage)))
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

// write writes a member's pending records as one group and reports that they are durable.
func (c *goldenCore) write(at string, writes ...Persist) {
	c.t.Helper()
	var records []*schema.Record
	for _, write := range writes {
		records = append(records, write.Record)
	}
	last := writes[len(writes)-1]
	if err := c.disks[at].Write(records, last.ReplacesLog); err != nil {
		c.t.Fatal(err)
	}
	c.act(at, c.members[at].Persisted(c.now, last.WriteID))
}

func (c *goldenCore) advance(span time.Duration) {
	c.t.Helper()
	for end := c.now + span; c.now < end; c.now += 75 * time.Millisecond {
		for _, name := range c.names {
			if !c.down[name] {
				c.act(name, c.members[name].Tick(c.now))
			}
		}
	}
}

func (c *goldenCore) propose(at string, change *schema.Change) {
	c.t.Helper()
	c.act(at, c.members[at].Propose(c.now, &schema.Proposal{Ticket: change.Id, Change: change}))
}

// expectRuling proposes a change and checks its ruling.
func (c *goldenCore) expectRuling(at string, want schema.Ruling, change *schema.Change) {
	c.t.Helper()
	c.propose(at, change)
	if got := c.replies[change.Id].GetOutcome(); got.GetRuling() != want {
		c.t.Fatalf("%s: %v, want %v", change.Id, c.replies[change.Id], want)
	}
}

func goldenItem(kind, name string, operatorVersion uint64, body string) *schema.Item {
	return &schema.Item{Kind: kind, Name: name, OperatorVersion: operatorVersion, Body: []byte(body)}
}

func goldenFlag(weight int) *schema.Item {
	return goldenItem("flag", "release.shop", 0, fmt.Sprintf(`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,`+
		`"fallthrough":{"rollout":{"variations":[{"variation":1,"weight":%d},{"variation":0,"weight":%d}]}}}`, weight, 100000-weight))
}

func goldenProgress(duty int, state string, weight int, elapsed time.Duration) *schema.Item {
	return goldenItem("progress", "shop", 0, fmt.Sprintf(`{"duty":%d,"holder":"a","set":"shop 3","state":%q,"reason":"the version is known","share":%d,"weight":%d,"elapsed":%d,"from":"1","since":7}`,
		duty, state, weight/1000, weight, elapsed))
}

// expecting is a change of items whose stored sequences are the ones given, 0 for none.
func expecting(id string, items []*schema.Item, sequences ...uint64) *schema.Change {
	change := &schema.Change{Id: id, Items: items}
	for i, sequence := range sequences {
		change.Expected = append(change.Expected, &schema.ExpectedVersion{Kind: items[i].Kind, Name: items[i].Name, Sequence: sequence})
	}
	return change
}

// sequenceOf is the sequence at which an item was last written.
func (c *goldenCore) sequenceOf(at, kind, name string) uint64 {
	_, state := c.members[at].Committed()
	return state[config.Key(kind, name)].GetVersion().GetSequence()
}

// writeGoldenCore writes the members' folders by running the replicas through the recorded steps.
func writeGoldenCore(t *testing.T, root string) {
	t.Helper()
	const accepted = schema.Ruling_RULING_ACCEPTED
	c := newGoldenCore(t, root)
	for i, name := range []string{"a", "b", "c"} {
		c.start(name, uint64(11+i), "a", "b", "c")
	}
	c.advance(5 * time.Second)
	c.expectRuling("a", accepted, expecting("shop", []*schema.Item{
		goldenItem("service", "shop", 0, `{"versions":["1","2"],"fallback":"1"}`), goldenFlag(0), goldenItem("route", "buy", 0, `{"service":"shop","prefix":"/buy"}`)}))
	c.expectRuling("b", accepted, &schema.Change{Id: "given", ByOperatorVersion: true, Items: []*schema.Item{
		{Kind: "segment", Name: "testers", OperatorVersion: 5, Body: []byte(`{"salt":"t","included":["ann"]}`), OperatorBody: []byte(`{"spec":{"salt":"t"}}`)},
		goldenItem("segment", "old", 6, `{"salt":"o"}`)}})
	c.expectRuling("a", accepted, expecting("plain", []*schema.Item{goldenItem("segment", "plain", 0, `{"salt":"p"}`)}))
	c.expectRuling("a", accepted, &schema.Change{Id: "dropped-given", ByOperatorVersion: true, Items: []*schema.Item{{Kind: "segment", Name: "old", OperatorVersion: 8, Deleted: true}}})
	c.expectRuling("a", schema.Ruling_RULING_INVALID, expecting("wrong", []*schema.Item{goldenItem("segment", "wrong", 0, `{"colour":"red"}`)}))
	c.expectRuling("b", schema.Ruling_RULING_CONFLICT, expecting("late", []*schema.Item{goldenItem("segment", "plain", 0, `{"salt":"q"}`)}))
	// c is removed for good; d replaces it.
	c.down["c"] = true
	c.start("d", 14)
	c.advance(6 * time.Second)
	c.expectRuling("d", accepted, expecting("release", []*schema.Item{goldenItem("release", "shop", 0, `{"service":"shop","version":"2","target":50,"over":"10m","pace":"go"}`)}))
	c.expectRuling("a", accepted, expecting("trial", []*schema.Item{goldenFlag(10000), goldenProgress(2, "trial", 10000, 0)}, c.sequenceOf("a", "flag", "release.shop"), 0))
	c.expectRuling("a", accepted, expecting("dropped-plain", []*schema.Item{{Kind: "segment", Name: "plain", Deleted: true}}, c.sequenceOf("a", "segment", "plain")))
	c.expectRuling("a", schema.Ruling_RULING_STALE, expecting("stale", []*schema.Item{goldenProgress(1, "ramp", 20000, 0)}, c.sequenceOf("a", "progress", "shop")))
	// Leadership moves to b and back, so that votes and terms follow the snapshot.
	c.down["a"] = true
	c.advance(4 * time.Second)
	c.down["a"] = false
	c.advance(5 * time.Second)
	c.expectRuling("b", accepted, expecting("ramp", []*schema.Item{goldenFlag(25000), goldenProgress(3, "ramp", 25000, 150*time.Second)},
		c.sequenceOf("b", "flag", "release.shop"), c.sequenceOf("b", "progress", "shop")))
	c.advance(time.Second)
	c.close()
	if err := os.RemoveAll(filepath.Join(root, "member-c")); err != nil {
		t.Fatal(err)
	}
}

// writeGoldenLone writes the folders of a single founder: as it starts, and later with a torn last frame.
func writeGoldenLone(t *testing.T, root string) {
	t.Helper()
	c := newGoldenCore(t, root)
	c.start("l", 21, "l")
	move := func(name string) {
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
	move("born")
	c.advance(5 * time.Second)
	c.holdWrites = true
	for _, id := range []string{"one", "two"} {
		c.propose("l", expecting(id, []*schema.Item{goldenItem("segment", id, 0, `{"salt":""}`)}))
	}
	c.holdWrites = false
	c.write("l", c.heldWrites...)
	c.expectRuling("l", schema.Ruling_RULING_ACCEPTED, expecting("torn", []*schema.Item{goldenItem("segment", "torn", 0, `{"salt":""}`)}))
	c.close()
	move("torn")
	if err := os.RemoveAll(filepath.Join(root, "member-l")); err != nil {
		t.Fatal(err)
	}
}
