package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

// selectorOptions count in units of a nanosecond, the tick of selectorHarness.
var selectorOptions = SelectorOptions{
	ProxyName:         "p",
	Zone:              "x",
	HeartbeatInterval: 4,
	HeartbeatTimeout:  8,
	MaxStaleness:      20,
	FailureCooldown:   32,
}

var threeMembers = []*schema.CoreMember{
	{Id: "a", Address: "a", Zone: "x"},
	{Id: "b", Address: "b", Zone: "y"},
	{Id: "c", Address: "c", Zone: "z"},
}

// selectorHarness is a proxy among simulated registries. Each sends a heartbeat every interval in its
// sessions, unless a test made it unresponsive or refusing.
type selectorHarness struct {
	selector     *RegistrySelector
	now          time.Duration
	nextTick     time.Duration            // when the selector is next due
	openedAt     map[string]time.Duration // of the open sessions, by address
	unresponsive map[string]bool          // sends no heartbeat
	refusing     map[string]bool          // ends its sessions at once
	staleness    map[string]time.Duration // age of its configuration
	gap          time.Duration            // time without a current session, up to now
	longestGap   time.Duration            // the longest such time since the first session
	connected    bool                     // there was a current session once
	log          []string                 // sessions opened (+) and closed (-), and violations
}

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

// runUntil advances the time tick by tick, and delivers ticks, heartbeats and session ends.
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
			h.log = append(h.log, "too many sessions")
		}
	}
}

// TestRegistrySelector checks that a proxy prefers the registry of its zone, moves to another one when
// that fails and back when it recovers, and that it is never without a session for too long.
func TestRegistrySelector(t *testing.T) {
	for name, test := range map[string]struct {
		members  []*schema.CoreMember
		seeds    []string
		scenario func(h *selectorHarness)
		want     string        // the current session at the end; one of several, separated by commas
		maxGap   time.Duration // bound on the time without a current session, after the first one
	}{
		"calm":             {threeMembers, nil, func(h *selectorHarness) { h.runUntil(100) }, "a", 0},
		"only seeds known": {nil, []string{"b"}, func(h *selectorHarness) { h.runUntil(30) }, "b", 0},
		"members learnt from a seed": {nil, []string{"b"}, func(h *selectorHarness) {
			h.runUntil(10)
			h.selector.SetCoreMembers(threeMembers)
			h.runUntil(20)
		}, "a", 0},
		"its registry is killed": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.refusing["a"] = true
			h.runUntil(40)
		}, "b,c", 3},
		"its registry is killed and comes back": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.refusing["a"] = true
			h.runUntil(30)
			h.refusing["a"] = false
			h.runUntil(100)
		}, "a", 3},
		"its registry becomes unresponsive": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.unresponsive["a"] = true
			h.runUntil(40)
		}, "b,c", 0},
		"two are unresponsive": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.unresponsive["a"], h.unresponsive["b"] = true, true
			h.runUntil(60)
		}, "c", 10},
		"its registry is partitioned": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"] = 30
			h.runUntil(40)
		}, "b,c", 0},
		"its registry's partition heals": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"] = 30
			h.runUntil(40)
			h.staleness["a"] = 0
			h.runUntil(100)
		}, "a", 0},
		"all are partitioned": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"], h.staleness["b"], h.staleness["c"] = 30, 30, 30
			h.runUntil(100)
		}, "a", 0},
		"all but one are partitioned": {threeMembers, nil, func(h *selectorHarness) {
			h.staleness["a"], h.staleness["b"] = 30, 30
			h.runUntil(40)
		}, "c", 0},
		"all are down": {threeMembers, []string{"d"}, func(h *selectorHarness) {
			h.runUntil(21)
			h.refusing["a"], h.refusing["b"], h.refusing["c"] = true, true, true
			h.runUntil(60)
		}, "d", 20},
		"reconnects to a partitioned one first": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"], h.refusing["a"], h.refusing["b"], h.refusing["c"] = 30, true, true, true
			h.runUntil(41)
			h.refusing["a"] = false
			h.runUntil(44)
			h.refusing["b"], h.refusing["c"] = false, false
			h.runUntil(60)
		}, "b,c", 30},
		"the partition heals except for its own": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.staleness["a"], h.staleness["b"], h.staleness["c"] = 30, 30, 30
			h.runUntil(45)
			h.staleness["b"], h.staleness["c"] = 0, 0
			h.runUntil(45 + 3*selectorOptions.HeartbeatInterval)
		}, "b,c", 0},
		"the core starts with it and two registries reach quorum later": {threeMembers, nil, func(h *selectorHarness) {
			h.staleness["a"], h.staleness["b"], h.staleness["c"] = 30, 30, 30
			h.runUntil(6)
			h.staleness["b"], h.staleness["c"] = 0, 0
			h.runUntil(6 + selectorOptions.HeartbeatInterval)
		}, "b,c", 0},
		"the process is stalled": {threeMembers, nil, func(h *selectorHarness) {
			h.runUntil(21)
			h.now = 51
			h.runUntil(53)
			if len(h.openedAt) != 1 {
				h.log = append(h.log, "too many sessions")
			}
			h.runUntil(80)
		}, "a", 0},
		"a dead seed is not dialled while others answer": {threeMembers, []string{"d"}, func(h *selectorHarness) {
			h.refusing["d"] = true
			h.runUntil(21)
			h.staleness["a"] = 30
			h.runUntil(60)
			if strings.Contains(strings.Join(h.log, ","), "+d") {
				h.log = append(h.log, "too many sessions")
			}
		}, "b,c", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSelectorHarness(test.members, test.seeds...)
			test.scenario(h)
			log := strings.Join(h.log, ",")
			if current := h.selector.Current(); current == "" || !strings.Contains(test.want, current) || strings.Contains(log, "too many") {
				t.Errorf("at %q, want %q: %v", current, test.want, h.log)
			}
			if h.longestGap > test.maxGap {
				t.Errorf("%d without a session, want %d at most: %v", h.longestGap, test.maxGap, h.log)
			}
		})
	}
}

// TestRegistrySelectorAcceptsOtherSeeds checks that seeds changed at run time leave the open session
// alone, and are tried once no known registry can be reached.
func TestRegistrySelectorAcceptsOtherSeeds(t *testing.T) {
	h := newSelectorHarness(threeMembers, "a", "b", "c")
	h.runUntil(100)
	h.selector.SetSeeds([]string{"d"})
	h.runUntil(200)
	if h.selector.Current() != "a" || len(h.log) != 1 {
		t.Fatalf("in session with %q: %s", h.selector.Current(), strings.Join(h.log, ", "))
	}
	for _, address := range []string{"a", "b", "c"} {
		h.refusing[address] = true
	}
	h.runUntil(400)
	if h.selector.Current() != "d" {
		t.Errorf("in session with %q: %s", h.selector.Current(), strings.Join(h.log, ", "))
	}
}
