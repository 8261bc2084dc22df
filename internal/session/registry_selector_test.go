package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

// selectorOptions gives all times in ticks of selectorHarness, which are one nanosecond long.
var selectorOptions = SelectorOptions{
	ProxyName:         "p",
	Zone:              "x",
	HeartbeatInterval: 4,
	HeartbeatTimeout:  8,
	MaxStaleness:      20,
	FailureCooldown:   32,
}

// threeMembers are registries in three zones. Registry a is in the zone of the proxy.
var threeMembers = []*schema.CoreMember{
	{Id: "a", Address: "a", Zone: "x"},
	{Id: "b", Address: "b", Zone: "y"},
	{Id: "c", Address: "c", Zone: "z"},
}

// selectorHarness simulates a proxy and its registries. Each registry sends a heartbeat once per interval in its
// sessions, unless a test makes it unresponsive or refusing.
type selectorHarness struct {
	selector     *RegistrySelector
	now          time.Duration            // simulated time
	nextTick     time.Duration            // time at which the selector's next Tick is due
	openedAt     map[string]time.Duration // open sessions: the time at which each was opened, by address
	unresponsive map[string]bool          // registries that send no heartbeat, by address
	refusing     map[string]bool          // registries that end each session at once, by address
	staleness    map[string]time.Duration // age of each registry's configuration, by address
	gap          time.Duration            // time since the last current session, 0 while there is one
	longestGap   time.Duration            // longest gap since the first session
	connected    bool                     // there was a current session
	log          []string                 // sessions opened (+) and closed (-), and violations
}

// newSelectorHarness returns a harness whose selector knows the given members and seeds.
func newSelectorHarness(members []*schema.CoreMember, seeds ...string) *selectorHarness {
	h := &selectorHarness{
		selector:     NewRegistrySelector(selectorOptions, seeds),
		openedAt:     map[string]time.Duration{},
		unresponsive: map[string]bool{},
		refusing:     map[string]bool{},
		staleness:    map[string]time.Duration{},
	}
	h.selector.SetCoreMembers(members)
	return h
}

// apply carries out the selector's actions.
func (h *selectorHarness) apply(actions []Action) {
	for _, action := range actions {
		if !action.Open {
			delete(h.openedAt, action.Address)
			h.log = append(h.log, fmt.Sprintf("%d -%s", h.now, action.Address))
			continue
		}
		h.openedAt[action.Address] = h.now
		h.log = append(h.log, fmt.Sprintf("%d +%s", h.now, action.Address))
	}
}

// runUntil advances the time in ticks, and delivers due calls of Tick, heartbeats and session ends.
func (h *selectorHarness) runUntil(end time.Duration) {
	for ; h.now < end; h.now++ {
		if h.now >= h.nextTick {
			h.apply(h.selector.Tick(h.now))
			h.nextTick = h.selector.NextTick(h.now)
		}
		for _, address := range h.selector.sortedAddresses() {
			openedAt, open := h.openedAt[address]
			switch {
			case !open:
			case h.refusing[address]:
				delete(h.openedAt, address)
				h.apply(h.selector.RecordSessionEnd(h.now, address))
				h.nextTick = h.selector.NextTick(h.now)
			case h.unresponsive[address]:
			case (h.now-openedAt)%selectorOptions.HeartbeatInterval == 1:
				h.apply(h.selector.RecordHeartbeat(h.now, address, true, h.staleness[address]))
				h.nextTick = h.selector.NextTick(h.now)
			}
		}
		if h.gap++; h.selector.Current() != "" {
			h.gap, h.connected = 0, true
		}
		if h.connected {
			h.longestGap = max(h.longestGap, h.gap)
		}
		if len(h.openedAt) > 2 {
			h.log = append(h.log, fmt.Sprintf("violation: %d sessions at %d, want at most 2", len(h.openedAt), h.now))
		}
	}
}

// TestSelectorPrefersHealthyRegistryOfItsZone checks that a proxy prefers the registry of its zone, switches to another
// one when that fails, and returns when it recovers. It also limits the time without a current session.
func TestSelectorPrefersHealthyRegistryOfItsZone(t *testing.T) {
	for name, test := range map[string]struct {
		members  []*schema.CoreMember
		seeds    []string
		scenario func(h *selectorHarness)
		want     string        // allowed addresses of the current session at the end, separated by commas
		maxGap   time.Duration // longest allowed time without a current session, after the first session
	}{
		"selects the registry of its zone":        {threeMembers, nil, func(h *selectorHarness) { h.runUntil(100) }, "a", 0},
		"selects a seed while no member is known": {nil, []string{"b"}, func(h *selectorHarness) { h.runUntil(30) }, "b", 0},
		"leaves a seed once members are known": {nil, []string{"b"}, func(h *selectorHarness) {
			h.runUntil(10)
			h.selector.SetCoreMembers(threeMembers)
			h.runUntil(20)
		}, "a", 0},
		"leaves a failed registry": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.refusing["a"] = true
			h.runUntil(40)
		}, "b,c", 3},
		"returns to a failed registry that recovers": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.refusing["a"] = true
			h.runUntil(30)
			h.refusing["a"] = false
			h.runUntil(100)
		}, "a", 3},
		"leaves an unresponsive registry without a gap": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.unresponsive["a"] = true
			h.runUntil(40)
		}, "b,c", 0},
		"finds the only responsive registry": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.unresponsive["a"], h.unresponsive["b"] = true, true
			h.runUntil(60)
		}, "c", 10},
		"leaves a partitioned registry without a gap": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"] = 30
			h.runUntil(40)
		}, "b,c", 0},
		"returns to a partitioned registry that recovers": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"] = 30
			h.runUntil(40)
			h.staleness["a"] = 0
			h.runUntil(100)
		}, "a", 0},
		"stays while all registries are partitioned": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"], h.staleness["b"], h.staleness["c"] = 30, 30, 30
			h.runUntil(100)
		}, "a", 0},
		"finds the only registry that is not partitioned": {threeMembers, nil, func(h *selectorHarness) {
			h.staleness["a"], h.staleness["b"] = 30, 30
			h.runUntil(40)
		}, "c", 0},
		"uses a seed while all members fail": {threeMembers, []string{"d"}, func(h *selectorHarness) {
			h.runUntil(21)
			h.refusing["a"], h.refusing["b"], h.refusing["c"] = true, true, true
			h.runUntil(60)
		}, "d", 20},
		"leaves a partitioned registry that it reconnected to first": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"], h.refusing["a"], h.refusing["b"], h.refusing["c"] = 30, true, true, true
			h.runUntil(41)
			h.refusing["a"] = false
			h.runUntil(44)
			h.refusing["b"], h.refusing["c"] = false, false
			h.runUntil(60)
		}, "b,c", 30},
		"leaves its registry when only the others recover from a partition": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"], h.staleness["b"], h.staleness["c"] = 30, 30, 30
			h.runUntil(45)
			h.staleness["b"], h.staleness["c"] = 0, 0
			h.runUntil(45 + 3*selectorOptions.HeartbeatInterval)
		}, "b,c", 0},
		"finds the registries of a starting core that reach the quorum later": {threeMembers, nil, func(h *selectorHarness) {
			h.staleness["a"], h.staleness["b"], h.staleness["c"] = 30, 30, 30
			h.runUntil(6)
			h.staleness["b"], h.staleness["c"] = 0, 0
			h.runUntil(6 + selectorOptions.HeartbeatInterval)
		}, "b,c", 0},
		"keeps its session after a stall of the process": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.now = 51
			h.runUntil(53)
			if len(h.openedAt) != 1 {
				h.log = append(h.log, fmt.Sprintf("violation: %d sessions after a stall, want 1", len(h.openedAt)))
			}
			h.runUntil(80)
		}, "a", 0},
		"does not dial a failed seed while other registries respond": {threeMembers, []string{"d"}, func(h *selectorHarness) {
			h.refusing["d"] = true
			h.runUntil(21)
			h.staleness["a"] = 30
			h.runUntil(60)
			if strings.Contains(strings.Join(h.log, ","), "+d") {
				h.log = append(h.log, "violation: session with a failed seed")
			}
		}, "b,c", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSelectorHarness(test.members, test.seeds...)
			test.scenario(h)
			log := strings.Join(h.log, ",")
			if current := h.selector.Current(); current == "" || !strings.Contains(test.want, current) || strings.Contains(log, "violation") {
				t.Errorf("current session = %q, want one of %q without violations; log: %v", current, test.want, h.log)
			}
			if h.longestGap > test.maxGap {
				t.Errorf("longest time without a session = %d ticks, want at most %d; log: %v", h.longestGap, test.maxGap, h.log)
			}
		})
	}
}

// TestSetSeedsKeepsOpenSession checks that seeds changed at run time do not affect the open session, and are tried
// once no known registry can be reached.
func TestSetSeedsKeepsOpenSession(t *testing.T) {
	h := newSelectorHarness(threeMembers, "a", "b", "c")
	h.runUntil(100)
	h.selector.SetSeeds([]string{"d"})
	h.runUntil(200)
	if h.selector.Current() != "a" || len(h.log) != 1 {
		t.Fatalf("current session after SetSeeds() = %q, want \"a\" with no other action; log: %v", h.selector.Current(), h.log)
	}
	for _, address := range []string{"a", "b", "c"} {
		h.refusing[address] = true
	}
	h.runUntil(400)
	if h.selector.Current() != "d" {
		t.Errorf("current session without reachable members = %q, want the seed \"d\"; log: %v", h.selector.Current(), h.log)
	}
}
