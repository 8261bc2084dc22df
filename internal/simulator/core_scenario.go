package simulator

import (
	"slices"
	"time"

	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
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
	w := &coreWorld{
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
