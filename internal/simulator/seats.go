package simulator

import (
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// The core alone, without an order: seats that found from seeds, join, are replaced and lose
// their disks, under changes whose items bear versions of operators'. More seats and more faults
// fit into a run than where the whole mesh is played.

// Rules on given versions and on the seats.
const (
	RuleOperatorVersionLost = "an acknowledged given version was lost or went down"
	RuleContentMismatch     = "an item differs from what was given under its version"
	RuleCoreIncomplete      = "the core was not whole again within the bound"
	RuleSlowAcknowledgement = "a change was not acknowledged within the bound"
	RuleNotLinearizable     = "no order of the calls explains what the operators were told"
)

// Plants for it.
const (
	SeededUncommittedAcknowledgement SeededFault = "unstable: acknowledged once the holder has taken it"
	SeededOperatorVersionsIgnored    SeededFault = "unordered: given versions are not compared"
	SeededNoTombstones               SeededFault = "no tombstones: what was dropped is forgotten at once"
	SeededNoReplacement              SeededFault = "alone: no successor takes the place of a machine that is gone"
	SeededStaleRead                  SeededFault = "stale read: a seat shows what it has without asking a majority"
	SeededConflictAccepted           SeededFault = "twice: a second content under one version is confirmed"
)

// Bounds of the core alone.
const (
	catchUpTime          = 4 * time.Second // after a machine is back it counts as lost for so long
	acknowledgementBound = 4 * time.Second // for a change, once nothing has been wrong for calm
	quietPeriod          = 3 * time.Second
	coreItemCount        = 6

	linearizabilityTimeout = time.Minute // for an order of the calls on one item
)

// CoreOptions say what kind of core it is.
type CoreOptions struct {
	Members        int // 3 or 5
	MaxLosses      int // that are survived at once
	OnlyFaults     []string
	FaultyDuration time.Duration
}

// coreWorld is a world of stores, and what operators were told.
type coreWorld struct {
	*World
	options                                        CoreOptions
	lostCount                                      int                            // machines that are lost now, or were until a moment ago
	lastFaultAt                                    time.Duration                  // when something was last wrong
	activeFaults                                   int                            // going on
	issuedVersions                                 map[string]uint64              // the highest version of each name that was ever sent
	sentContents                                   map[string]map[uint64][]string // contents sent, by name and version
	calls                                          linearize.History
	acknowledgedVersions                           map[string]uint64 // the highest version acknowledged
	sentChanges                                    []*schema.Change
	currentLoss                                    *lossRecord
	activeFaultsByKind                             [3]int // faults by what they do
	onAcknowledged                                 []func()
	unanswered                                     map[int]func() // by client: notes the call as one without an answer
	Acknowledgements, Reads, Replacements, Resends int
}

// RunCore runs one seed of a core alone.
func RunCore(seed uint64, seededFault SeededFault, options CoreOptions) *coreWorld {
	if options.FaultyDuration == 0 {
		options.FaultyDuration = 90 * time.Second
	}
	w := &coreWorld{World: NewWorld(seed, seededFault, Options{Empty: true}), options: options, issuedVersions: map[string]uint64{}, unanswered: map[int]func(){}, sentContents: map[string]map[uint64][]string{}, acknowledgedVersions: map[string]uint64{}}
	for i := range options.Members {
		w.addMember(memberName(i), true)
	}
	w.Run(5 * time.Second)
	w.requireComplete(0)
	w.submitPeriodically()
	w.readPeriodically()
	until := w.now + options.FaultyDuration
	w.injectCoreFaults(until)
	// What is lost is back soon, or the last check says so.
	for w.Run(until); (w.activeFaults > 0 || w.lostCount > 0) && w.now < until+time.Minute; {
		w.Run(w.now + time.Second)
	}
	w.Run(w.now + catchUpTime + quietPeriod)
	w.checkAtEnd()
	w.checkLinearizable()
	w.World.Close()
	return w
}

// checkLinearizable looks for an order of all calls that explains what the operators were told.
func (w *coreWorld) checkLinearizable() {
	for _, recordUnanswered := range w.unanswered {
		recordUnanswered()
	}
	if err := w.calls.Check(linearizabilityTimeout); err != nil {
		w.History.recordBreach(RuleNotLinearizable, "%v", err)
	}
}

// addMember starts a machine that has never been there.
func (w *coreWorld) addMember(name string, isFounder bool) *memberNode {
	replicaConfig := newReplicaConfig(name, nil, w.options.MaxLosses)
	if w.seededFault == SeededNoTombstones {
		replicaConfig.MaxOperatorTombstones = 1
	}
	node := &memberNode{process: w.newProcess("store-" + name), replicaConfig: replicaConfig}
	if founders := []string{"a", "b", "c"}; isFounder && slices.Contains(founders, name) {
		node.replicaConfig.Founders = founders
	} else {
		node.replicaConfig.ExpandsMembership = isFounder
	}
	w.members = append(w.members, node)
	w.startWithSeeds(node)
	return node
}

// startWithSeeds starts a machine with the seeds of that moment: up to three of the core, itself perhaps
// among them, and any of them may be down.
func (w *coreWorld) startWithSeeds(node *memberNode) {
	node.replicaConfig.Seeds = []string{"a", "b", "c"}
	if w.now > 0 {
		node.replicaConfig.Seeds = nil
		all := w.activeMembers()
		for _, index := range w.random.Perm(len(all))[:min(3, len(all))] {
			node.replicaConfig.Seeds = append(node.replicaConfig.Seeds, all[index].name[len("store-"):])
		}
	}
	w.startMember(node)
}

// standing lists the machines of the core that are not gone for good.
func (w *coreWorld) activeMembers() []*memberNode {
	var all []*memberNode
	for _, node := range w.members {
		if !node.removed {
			all = append(all, node)
		}
	}
	return all
}

func (w *coreWorld) randomMember() *memberNode {
	all := w.activeMembers()
	return all[w.randomInt(len(all))]
}

// incompleteReason tells what the core lacks: as many seats as there should be, all up, each holding what is
// acknowledged. A machine that was away for good and is back may have taken a seat that was free.
func (w *coreWorld) incompleteReason() string {
	// What was acknowledged this moment may still be under way to some.
	w.History.lock.Lock()
	acknowledged := w.History.acknowledgedAt(w.now - time.Second)
	w.History.lock.Unlock()
	countedMembers := 0
	for _, node := range w.members {
		if !node.up {
			if !node.removed {
				return node.name + " is down"
			}
			continue
		}
		status := node.replica.Status()
		if status.Member {
			countedMembers++
		}
		switch {
		case !status.Member && len(w.members) == w.options.Members:
			return node.name + " does not count"
		case status.Durable < acknowledged:
			return node.name + " has not synced what is acknowledged"
		case len(status.Membership.Members) != w.options.Members || int(status.Membership.TargetSize) != w.options.Members:
			return fmt.Sprintf("%s knows %d seats of %d", node.name, len(status.Membership.Members), status.Membership.TargetSize)
		}
	}
	if countedMembers != w.options.Members {
		return fmt.Sprintf("%d seats count", countedMembers)
	}
	return ""
}

// requireComplete breaches unless the core is whole within a bound, if nothing else goes wrong.
func (w *coreWorld) requireComplete(bound time.Duration) {
	from := w.now
	var check func()
	check = func() {
		if w.lastFaultAt > from || w.activeFaults > 0 {
			return // something else has gone wrong
		}
		reason := w.incompleteReason()
		if reason == "" {
			return
		}
		if w.now-from >= bound {
			w.History.recordBreach(RuleCoreIncomplete, "%v: %s, %v after the last trouble", w.now, reason, w.now-from)
			return
		}
		w.schedule(100*time.Millisecond, check)
	}
	check()
}

// submitPeriodically sends changes at random times.
func (w *coreWorld) submitPeriodically() {
	w.submitCoreChange()
	w.schedule(w.randomDuration(600*time.Millisecond), w.submitPeriodically)
}

func (w *coreWorld) submitCoreChange() {
	change := &schema.Change{Id: fmt.Sprint("change-", w.nextID()), ByOperatorVersion: true}
	resent := false // a call sent once more under its own id
	switch kind := w.randomInt(10); {
	case kind == 0 && len(w.sentChanges) > 0:
		// An older change arrives again, under its own id or as a new call.
		old := w.sentChanges[w.randomInt(len(w.sentChanges))]
		w.Resends++
		if change.Items = old.Items; w.randomInt(2) == 0 {
			change.Id, resent = old.Id, true
		}
	case kind == 1:
		name := fmt.Sprint("bad", w.nextID())
		w.History.markInvalid("route/" + name)
		change.Items = append(w.nextItems(1), &schema.Item{Kind: "route", Name: name, OperatorVersion: 1, Body: []byte(`{"service":"gone","prefix":"/","horizon":"1s"}`)})
	default:
		change.Items = w.nextItems(1 + w.randomInt(3))
		w.sentChanges = append(w.sentChanges, change)
	}
	if w.seededFault == SeededOperatorVersionsIgnored {
		change.ByOperatorVersion = false
	}
	at := w.randomMember()
	w.submitUntilDecided(at, change, resent)
	// Two operators at once, at two seats.
	if w.randomInt(3) == 0 {
		other := &schema.Change{Id: fmt.Sprint("change-", w.nextID()), ByOperatorVersion: change.ByOperatorVersion}
		sameVersions := w.randomInt(2) == 0
		for _, item := range change.Items {
			switch {
			case item.Kind == "segment" && sameVersions:
				other.Items = append(other.Items, w.conflictingItem(item))
			case item.Kind == "segment":
				other.Items = append(other.Items, w.nextItem(item.Name))
			}
		}
		w.sentChanges = append(w.sentChanges, other)
		w.submitUntilDecided(w.randomMember(), other, false)
	}
}

// coreItem names one of the items that the operators change.
func coreItem(index int) string { return fmt.Sprint("s", index) }

func (w *coreWorld) nextItems(count int) (items []*schema.Item) {
	for range count {
		items = append(items, w.nextItem(coreItem(w.randomInt(coreItemCount))))
	}
	return items
}

// nextItem is the next version of an item, by an uneven step; now and then it is dropped.
func (w *coreWorld) nextItem(name string) *schema.Item {
	w.issuedVersions[name] += uint64(1 + w.randomInt(3))
	item := &schema.Item{Kind: "segment", Name: name, OperatorVersion: w.issuedVersions[name], Deleted: w.randomInt(4) == 0}
	if !item.Deleted {
		item.Body = []byte(fmt.Sprintf(`{"salt":"%d"}`, item.OperatorVersion))
	}
	w.recordContent(item)
	return item
}

// recordContent notes a content that an operator sends.
func (w *coreWorld) recordContent(item *schema.Item) {
	if w.sentContents[item.Name] == nil {
		w.sentContents[item.Name] = map[uint64][]string{}
	}
	w.sentContents[item.Name][item.OperatorVersion] = append(w.sentContents[item.Name][item.OperatorVersion], string(item.Body))
}

// conflictingItem is another content under the version of an item.
func (w *coreWorld) conflictingItem(of *schema.Item) *schema.Item {
	item := &schema.Item{Kind: of.Kind, Name: of.Name, OperatorVersion: of.OperatorVersion, Body: []byte(fmt.Sprintf(`{"salt":"rival %d"}`, w.nextID()))}
	w.recordContent(item)
	return item
}

// submitUntilDecided hands a change to a store until it is decided, as a registry does, or moves on to another.
func (w *coreWorld) submitUntilDecided(node *memberNode, change *schema.Change, resent bool) {
	began, quietSince := w.now, w.now
	decided := false
	client := w.nextID()
	recordCall := func(result linearize.Result) {
		for _, item := range change.Items {
			if item.Kind == "segment" {
				w.calls.Add(linearize.Operation{Client: int(client), Item: item.Name, Value: valueOf(item), Result: result, Begin: began, End: w.now})
			}
		}
	}
	w.unanswered[client] = func() { recordCall(linearize.OutcomeUnknown) }
	var attempt func()
	attempt = func() {
		if decided {
			return
		}
		// The bound runs only while nothing is wrong, and has not been for a while.
		if w.activeFaults > 0 || w.now-w.lastFaultAt < quietPeriod {
			quietSince = w.now
		}
		if w.now-quietSince > acknowledgementBound {
			w.History.recordBreach(RuleSlowAcknowledgement, "%v: %s, sent at %v, has no answer", w.now, change.Id, began)
			return
		}
		if w.now-began > time.Minute {
			return
		}
		if !w.World.isResponsive(&node.process) {
			node = w.randomMember()
		} else {
			w.propose(node, change, func(ruling schema.Ruling) {
				if decided {
					return
				}
				decided = true
				delete(w.unanswered, client)
				recordCall(resultOf(ruling, resent, len(change.Items)))
			})
		}
		w.schedule(200*time.Millisecond, attempt)
	}
	attempt()
}

// valueOf is an item as the checker of calls takes it.
func valueOf(item *schema.Item) linearize.Value {
	if item == nil || item.Deleted {
		return linearize.Value{Version: item.GetOperatorVersion(), Absent: true}
	}
	return linearize.Value{Version: item.OperatorVersion, Content: string(item.Body)}
}

// resultOf is what a ruling says of each item of a change. Where there are several, which of them
// clashed is not looked at; and one that is sent again under its own id is told its first ruling.
func resultOf(ruling schema.Ruling, resent bool, items int) linearize.Result {
	switch {
	case ruling == schema.Ruling_RULING_ACCEPTED:
		return linearize.Accepted
	case ruling == schema.Ruling_RULING_CONFLICT && items == 1 && !resent:
		return linearize.Conflicted
	}
	return linearize.Rejected
}

func (w *coreWorld) propose(node *memberNode, change *schema.Change, decided func(schema.Ruling)) {
	if w.seededFault == SeededOperatorVersionsIgnored {
		change = &schema.Change{Id: change.Id, Items: change.Items}
		_, state := node.replica.Committed()
		for _, item := range change.Items {
			if existing := state[config.Key(item.Kind, item.Name)]; existing != nil && !existing.Deleted {
				change.Expected = append(change.Expected, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.Sequence})
			}
		}
	}
	ticket := fmt.Sprint("offer-", w.nextID())
	node.pendingReplies[ticket] = func(result any) {
		reply := result.(*schema.ProposalReply)
		if reply.Undecided {
			return
		}
		ruling := reply.Outcome.Ruling
		if w.seededFault == SeededConflictAccepted && ruling == schema.Ruling_RULING_CONFLICT {
			ruling = schema.Ruling_RULING_ACCEPTED
		}
		decided(ruling)
		if w.seededFault != SeededOperatorVersionsIgnored {
			w.History.recordRuling(w.now, change.Id, reply.Outcome.Ruling)
		}
		if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
			w.recordAcknowledged(change, reply.Outcome.Version.Sequence)
		}
	}
	w.execute(node, node.replica.Propose(node.clock.at(w.now), &schema.Proposal{Ticket: ticket, Change: change}))
	if outcome, appended := node.replica.AppendedOutcome(change.Id); w.seededFault == SeededUncommittedAcknowledgement && appended && outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		w.recordAcknowledged(change, 0)
	}
}

func (w *coreWorld) recordAcknowledged(change *schema.Change, sequence uint64) {
	w.Acknowledgements++
	w.History.recordAcknowledgement(w.now, sequence)
	for _, item := range change.Items {
		w.acknowledgedVersions[item.Name] = max(w.acknowledgedVersions[item.Name], item.OperatorVersion)
	}
	for _, callback := range w.onAcknowledged {
		callback()
	}
	w.onAcknowledged = nil
}

// readPeriodically reads the whole setup back at some seat, again and again, as a registry does.
func (w *coreWorld) readPeriodically() {
	w.readAt(w.randomMember())
	w.schedule(w.randomDuration(2*time.Second), w.readPeriodically)
}

func (w *coreWorld) readAt(node *memberNode) {
	if !w.World.isResponsive(&node.process) {
		return
	}
	acknowledged := map[string]uint64{}
	for name, given := range w.acknowledgedVersions {
		acknowledged[name] = given
	}
	began, client := w.now, int(w.nextID())
	recordRead := func(state config.State) {
		w.Reads++
		w.checkRead(node, state, acknowledged)
		for index := range coreItemCount {
			name := coreItem(index)
			value := valueOf(state[config.Key("segment", name)])
			w.calls.Add(linearize.Operation{Client: client, Item: name, Read: true, Value: value, Result: linearize.Accepted, Begin: began, End: w.now})
		}
	}
	if w.seededFault == SeededStaleRead {
		_, state := node.replica.Committed()
		recordRead(state)
		return
	}
	ticket := fmt.Sprint("stand-", w.nextID())
	node.pendingReplies[ticket] = func(result any) {
		reply := result.(*schema.ReadIndexReply)
		if reply.Undecided {
			return
		}
		var awaitCommitted func()
		awaitCommitted = func() {
			committed, state := node.replica.Committed()
			if committed < reply.Committed {
				w.scheduleOn(&node.process, pollInterval, awaitCommitted)
				return
			}
			recordRead(state)
		}
		awaitCommitted()
	}
	w.execute(node, node.replica.ReadIndex(node.clock.at(w.now), ticket))
}

// checkRead holds what was read against what had been acknowledged before it was asked for.
func (w *coreWorld) checkRead(node *memberNode, state config.State, acknowledged map[string]uint64) {
	for name, operatorVersion := range acknowledged {
		item := state[config.Key("segment", name)]
		if item.GetOperatorVersion() < operatorVersion {
			w.History.recordBreach(RuleOperatorVersionLost, "%v: %s shows %s under %d; %d was acknowledged", w.now, node.name, name, item.GetOperatorVersion(), operatorVersion)
		}
	}
	for _, item := range state {
		if item.Kind == "segment" && !slices.Contains(w.sentContents[item.Name][item.OperatorVersion], string(item.Body)) {
			w.History.recordBreach(RuleContentMismatch, "%v: %s shows %s under %d as %q", w.now, node.name, item.Name, item.OperatorVersion, item.Body)
		}
		if w.History.invalidItems[config.Key(item.Kind, item.Name)] {
			w.History.recordBreach(RuleInvalidConfig, "%v: %s holds %s", w.now, node.name, item.Name)
		}
	}
}

// What a fault of a core alone does. A machine that is cut off counts as lost: none goes for good
// meanwhile.
const (
	lossTemporary = iota
	lossPermanent
	lossPartition
)

// CoreFaults are the kinds of fault of a core alone. Lost says how many machines are lost by it;
// act gives what ends it.
var CoreFaults = []struct {
	name string
	lost int
	kind int
	act  func(w *coreWorld) (mend func())
}{
	{"power lost", 1, lossTemporary, func(w *coreWorld) func() { return w.crashAndRestart(w.loseRandomMember(), false) }},
	{"disk lost", 1, lossTemporary, func(w *coreWorld) func() { return w.crashAndRestart(w.loseRandomMember(), true) }},
	{"power lost right after a yes", 1, lossTemporary, func(w *coreWorld) func() { return w.crashLeaderAfterAcknowledgement(false) }},
	{"disk lost right after a yes", 1, lossTemporary, func(w *coreWorld) func() { return w.crashLeaderAfterAcknowledgement(true) }},
	{"machine replaced", 1, lossPermanent, func(w *coreWorld) func() { return w.replaceMember(false) }},
	{"machine replaced, and back later", 1, lossPermanent, func(w *coreWorld) func() { return w.replaceMember(true) }},
	{"machine frozen", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		w.freeze(&node.process, w.now+w.randomDuration(12*time.Second))
		return func() { w.freeze(&node.process, 0) }
	}},
	{"disk stalls", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		node.stalledUntil = w.now + 3*time.Second + w.randomDuration(3*time.Second)
		return func() { w.endDiskStall(node) }
	}},
	{"disk refuses", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		node.failsUntil = w.now + w.randomDuration(6*time.Second)
		return func() { node.failsUntil = 0 }
	}},
	{"disk slow", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		node.maxExtraSyncDelay = 50 * time.Millisecond
		return func() { node.maxExtraSyncDelay = 0 }
	}},
	{"all lose power", 0, lossTemporary, func(w *coreWorld) func() { return w.crashAll(0) }},
	{"all lose power, and some their disks", 0, lossTemporary, func(w *coreWorld) func() { return w.crashAll(w.options.MaxLosses) }},
	{"one cut off", 0, lossPartition, func(w *coreWorld) func() {
		lone := w.randomMember().host()
		return w.partition(func(a, b string) bool { return a == lone || b == lone })
	}},
	{"one cut off one way", 0, lossPartition, func(w *coreWorld) func() {
		lone, inward := w.randomMember().host(), w.randomInt(2) == 0
		return w.partition(func(a, b string) bool { return inward && b == lone || !inward && a == lone })
	}},
	{"split in two", 0, lossPartition, func(w *coreWorld) func() {
		side := map[string]bool{}
		for _, node := range w.activeMembers() {
			side[node.host()] = w.randomInt(2) == 0
		}
		return w.partition(func(a, b string) bool { return side[a] != side[b] })
	}},
	{"each alone", 0, lossPartition, func(w *coreWorld) func() { return w.partition(func(string, string) bool { return true }) }},
	{"one link one way", 0, lossPartition, func(w *coreWorld) func() {
		from, to := w.randomMember().host(), w.randomMember().host()
		return w.partition(func(a, b string) bool { return a == from && b == to })
	}},
	{"lossy links", 0, lossTemporary, func(w *coreWorld) func() {
		w.withLock(func() { w.lossRate = 0.3 * w.random.Float64() })
		return func() { w.withLock(func() { w.lossRate = 0 }) }
	}},
	{"slow links", 0, lossTemporary, func(w *coreWorld) func() {
		w.withLock(func() { w.maxExtraDelay = time.Duration(w.random.Int64N(int64(400 * time.Millisecond))) })
		return func() { w.withLock(func() { w.maxExtraDelay = 0 }) }
	}},
}

func (n *memberNode) host() string { return hostOf(n.name) }

// loseRandomMember draws a machine that is not lost already.
func (w *coreWorld) loseRandomMember() *memberNode {
	for {
		if node := w.randomMember(); !node.lost {
			node.lost = true
			w.currentLoss.nodes = append(w.currentLoss.nodes, node)
			return node
		}
	}
}

// lossRecord is a fault and the machines that are lost by it.
type lossRecord struct {
	kind  int
	count int
	nodes []*memberNode
}

// crashAndRestart takes the power of a machine, and perhaps its disk; it comes back where it was.
func (w *coreWorld) crashAndRestart(node *memberNode, loseDisk bool) func() {
	w.crashMember(node)
	if loseDisk {
		node.disk = nil
	}
	return func() { w.startWithSeeds(node) }
}

// crashLeaderAfterAcknowledgement waits for the next yes and takes the holder then.
func (w *coreWorld) crashLeaderAfterAcknowledgement(loseDisk bool) func() {
	var repair func()
	ended, loss := false, w.currentLoss
	w.onAcknowledged = append(w.onAcknowledged, func() {
		for _, node := range w.activeMembers() {
			if !ended && repair == nil && node.up && !node.lost && "store-"+node.replica.Status().Leader == node.name {
				node.lost = true
				loss.nodes = append(loss.nodes, node)
				repair = w.crashAndRestart(node, loseDisk)
			}
		}
	})
	return func() {
		if ended = true; repair != nil {
			repair()
		}
	}
}

// replaceMember takes a machine away for good and lets another come, empty, under another name.
func (w *coreWorld) replaceMember(oldReturns bool) func() {
	node, loss := w.loseRandomMember(), w.currentLoss
	w.crashMember(node)
	node.removed = true
	w.Replacements++
	return func() {
		if w.seededFault == SeededNoReplacement {
			return
		}
		replacement := w.addMember(memberName(len(w.members)), false)
		replacement.lost = true
		loss.nodes = append(loss.nodes, replacement)
		if oldReturns {
			w.schedule(3*time.Second+w.randomDuration(10*time.Second), func() { w.startWithSeeds(node) })
		}
	}
}

// crashAll takes the power of every machine at once, and the disks of a few; all are back within a second.
func (w *coreWorld) crashAll(lostDisks int) func() {
	for i, node := range w.activeMembers() {
		if node.up {
			w.crashMember(node)
		}
		if w.lostCount == 0 && i < lostDisks {
			node.disk = nil
		}
		w.schedule(w.randomDuration(time.Second), func() {
			if !node.up && !node.lost && !node.removed {
				w.startWithSeeds(node)
			}
		})
	}
	return func() {}
}

// partition cuts the links between machines.
func (w *coreWorld) partition(isCut func(a, b string) bool) func() {
	var links [][2]string
	for _, a := range w.activeMembers() {
		for _, b := range w.activeMembers() {
			if a != b && isCut(a.host(), b.host()) {
				links = append(links, [2]string{a.host(), b.host()})
			}
		}
	}
	return w.cutLinks(links)
}

// injectCoreFaults lets faults come and go; no more machines are lost at once than is promised to be survived.
func (w *coreWorld) injectCoreFaults(until time.Duration) {
	var injectNext func()
	injectNext = func() {
		if w.now > until {
			return
		}
		chosen := CoreFaults[w.randomInt(len(CoreFaults))]
		pause := w.randomDuration(6 * time.Second)
		all := chosen.name[:3] == "all"
		if len(w.options.OnlyFaults) > 0 && !slices.Contains(w.options.OnlyFaults, chosen.name) || w.lostCount+chosen.lost > w.options.MaxLosses || all && w.lostCount > 0 ||
			chosen.kind == lossPermanent && w.activeFaultsByKind[lossPartition] > 0 || chosen.kind == lossPartition && w.activeFaultsByKind[lossPermanent] > 0 {
			w.schedule(w.randomDuration(time.Second), injectNext)
			return
		}
		loss := &lossRecord{count: chosen.lost}
		if all {
			loss.count = w.options.MaxLosses
		}
		loss.kind = chosen.kind
		w.currentLoss = loss
		w.lostCount += loss.count
		w.activeFaultsByKind[loss.kind]++
		w.activeFaults++
		w.lastFaultAt = w.now
		repair := chosen.act(w)
		w.schedule(w.randomDuration(8*time.Second), func() {
			repair()
			w.activeFaults--
			w.lastFaultAt = w.now
			w.requireComplete(catchUpTime)
			w.schedule(catchUpTime, func() { w.releaseLoss(loss) })
		})
		w.schedule(pause, injectNext)
	}
	injectNext()
}

// releaseLoss lets what was lost count as back, once it is: a loss more than is promised may come no sooner.
func (w *coreWorld) releaseLoss(loss *lossRecord) {
	if loss.count > 0 && w.incompleteReason() != "" {
		w.schedule(500*time.Millisecond, func() { w.releaseLoss(loss) })
		return
	}
	w.lostCount -= loss.count
	w.activeFaultsByKind[loss.kind]--
	for _, node := range loss.nodes {
		node.lost = false
	}
}

// checkAtEnd reads everything back at every seat.
func (w *coreWorld) checkAtEnd() {
	if reason := w.incompleteReason(); reason != "" {
		w.History.recordBreach(RuleCoreIncomplete, "%v: at the end %s", w.now, reason)
	}
	reads := w.Reads
	for _, node := range w.activeMembers() {
		w.readAt(node)
	}
	w.Run(w.now + time.Second)
	if w.Reads < reads+len(w.activeMembers()) {
		w.History.recordBreach(RuleAcknowledgedLost, "only %d of %d seats could be read at the end", w.Reads-reads, len(w.activeMembers()))
	}
}
