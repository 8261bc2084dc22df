package simulator

import (
	"slices"
	"time"

	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// Timing and size of a core scenario.
const (
	catchUpTime          = 4 * time.Second // for which a member still counts as lost after it is back
	acknowledgementBound = 4 * time.Second // of a change, while no fault is active or was within quietPeriod
	quietPeriod          = 3 * time.Second
	coreItemCount        = 6 // items that the operators change

	linearizabilityTimeout = time.Minute // of real time, for the check of one item
)

// CoreOptions describe a core without a mesh.
type CoreOptions struct {
	Members        int           // 3 or 5
	MaxLosses      int           // members that may be lost at once
	OnlyFaults     []string      // restricts fault injection to faults of these names; empty allows all
	FaultyDuration time.Duration // how long faults are injected; 0 for 90 seconds
}

// CoreWorld is a world of members without registries and proxies: the core founds itself from seeds, members join, are
// replaced and lose their disks, while operators change items under operator versions. More members and more faults fit
// into a run than with a mesh. Only events use its fields.
type CoreWorld struct {
	*World
	options CoreOptions

	// Faults.
	lastFaultAt        time.Duration // when a fault last began or ended
	activeFaults       int
	activeFaultsByKind [lossKindCount]int
	lostCount          int         // members that count as lost
	currentLoss        *lossRecord // of the fault that was injected last
	onAcknowledged     []func()    // called once with the next acknowledgement

	// What operators sent and learned.
	issuedVersions       map[string]uint64              // by item: the highest version ever sent
	acknowledgedVersions map[string]uint64              // by item: the highest version acknowledged
	sentContents         map[string]map[uint64][]string // by item and version
	sentChanges          []*schema.Change
	calls                linearize.History
	unanswered           map[int]func() // by client: records the call as one with an unknown outcome

	// Totals.
	Acknowledgements, Reads, Replacements, Resends int
}

// RunCore runs one seed of a core without a mesh. It must run inside a synctest bubble.
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
	until := w.now + options.FaultyDuration
	w.injectCoreFaults(until)
	// What is lost recovers soon; otherwise the check at the end reports it.
	for w.Run(until); (w.activeFaults > 0 || w.lostCount > 0) && w.now < until+time.Minute; {
		w.Run(w.now + time.Second)
	}
	w.Run(w.now + catchUpTime + quietPeriod)
	w.checkAtEnd()
	w.checkLinearizable()
	w.Close()
	return w
}

// addMember starts a new member. A founder is one of the first members of the core; those beyond the first three
// expand it.
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

// startWithSeeds starts a member with up to three active members as its seeds. The member itself may be among them, and
// any of them may be down.
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

// activeMembers returns the members that are not removed.
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
