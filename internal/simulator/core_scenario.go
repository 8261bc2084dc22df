package simulator

import (
	"slices"
	"time"

	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// Durations and sizes of a core scenario.
const (
	catchUpTime          = 4 * time.Second // shortest time for which members still count as lost after their fault ended
	acknowledgementBound = 4 * time.Second // longest time to decide a change while no fault is active or recent
	quietPeriod          = 3 * time.Second // how long after its end a fault still counts as recent
	coreItemCount        = 6               // number of items that the operators change

	linearizabilityTimeout = time.Minute // real time that the check of one item may take
)

// CoreOptions configure a core without a mesh.
type CoreOptions struct {
	Members        int           // number of members, 3 or 5
	MaxLosses      int           // number of members that may be lost at once
	OnlyFaults     []string      // restricts fault injection to the CoreFaults with these names; empty allows all
	FaultyDuration time.Duration // how long faults are injected; 0 for 90 seconds
	CopiedCalls    bool          // operators also send calls that depend on each other, in copies that may be late
}

// CoreWorld is a World of members without registries and proxies. The core founds itself from seeds. Members join,
// are replaced and lose their disks, while operators change items under operator versions. Compared to a mesh, more
// members and more faults fit into a run. Only events use its fields.
type CoreWorld struct {
	*World
	options CoreOptions

	// Faults.
	lastFaultAt        time.Duration      // virtual time at which a fault last began or ended
	activeFaults       int                // faults that have not been repaired
	activeFaultsByKind [lossKindCount]int // faults that still count; see releaseLoss
	lostCount          int                // number of members that count as lost
	currentLoss        *lossRecord        // record of the fault that was injected last
	onAcknowledged     []func()           // called at the next acknowledgement, then dropped

	// What operators sent and learned.
	issuedVersions       map[string]uint64              // highest operator version sent of each item
	acknowledgedVersions map[string]uint64              // highest operator version acknowledged of each item
	sentContents         map[string]map[uint64][]string // contents sent, by item and operator version
	sentChanges          []*schema.Change               // changes without invalid items, which may be sent again
	calls                linearize.History              // changes and reads, for the linearizability check
	unanswered           map[int]func()                 // records the outcome of an undecided change, by client

	// Totals. Resends counts the older changes that were sent again.
	Acknowledgements, Reads, Replacements, Resends int

	// Totals of the copied calls that were refused, and of the copies that were decided after the end of their call.
	RefusedCalls, LateCopies int
}

// RunCore runs one seed of a core without a mesh: operators change and read items while faults come and go. It
// returns the closed world, whose History has the violations. It must run inside a synctest bubble.
func RunCore(seed uint64, seededFault SeededFault, options CoreOptions) *CoreWorld {
	if options.FaultyDuration == 0 {
		options.FaultyDuration = 90 * time.Second
	}
	w := &CoreWorld{
		World:                NewWorld(seed, seededFault, Options{Empty: true}),
		options:              options,
		issuedVersions:       map[string]uint64{},
		unanswered:           map[int]func(){},
		sentContents:         map[string]map[uint64][]string{},
		acknowledgedVersions: map[string]uint64{},
	}
	for i := range options.Members {
		w.addMember(memberName(i), true)
	}
	w.Run(5 * time.Second)
	w.requireComplete(0)
	w.submitPeriodically()
	w.readPeriodically()
	if options.CopiedCalls {
		w.sendCopiedCalls()
	}
	until := w.now + options.FaultyDuration
	w.injectCoreFaults(until)
	// Lost members have up to a minute to recover. If they do not, the check at the end reports it.
	for w.Run(until); (w.activeFaults > 0 || w.lostCount > 0) && w.now < until+time.Minute; {
		w.Run(w.now + time.Second)
	}
	w.Run(w.now + catchUpTime + quietPeriod)
	w.checkAtEnd()
	w.checkLinearizable()
	w.Close()
	return w
}

// addMember starts a new member and returns it. Founders are the members that the core begins with. The first three
// of them found the core, the others expand it.
func (w *CoreWorld) addMember(name string, isFounder bool) *memberNode {
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

// startWithSeeds starts a member with up to three random active members as its seeds, or the three founders at
// virtual time zero. The member itself may be among its seeds, and any of them may be down.
func (w *CoreWorld) startWithSeeds(node *memberNode) {
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

// activeMembers returns the members that are not removed; they may be down.
func (w *CoreWorld) activeMembers() []*memberNode {
	var all []*memberNode
	for _, node := range w.members {
		if !node.removed {
			all = append(all, node)
		}
	}
	return all
}

// randomMember draws an active member.
func (w *CoreWorld) randomMember() *memberNode {
	all := w.activeMembers()
	return all[w.randomInt(len(all))]
}
