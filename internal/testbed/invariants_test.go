package testbed

import (
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
)

// validHistory returns a history that violates no invariant and has at least one entry to check for each.
func validHistory() *History {
	s := time.Second
	return &History{
		DrainingBound:   2 * s,
		DisconnectBound: s / 2,
		Lease:           8 * s,
		CheckRejections: true,
		SurvivedChanges: 1,

		Faults: []FaultEntry{{Name: "proxy killed", At: 5 * s, End: 6 * s, MayReject: true}},
		Calls: []CallEntry{
			{Operation: "1", Caller: "client", Proxy: "p", Service: "shop", NonIdempotent: true, Sent: 10 * s, Received: 11 * s, Outcome: "answered", ConfigRevision: 5, Attempts: 2, Echoed: "1", Intact: true},
			{Operation: "2", Caller: "client", Proxy: "p", Service: "shop", NonIdempotent: true, Sent: 12 * s, Received: 13 * s, Outcome: "not-run", ConfigRevision: 6, Attempts: 1},
			{Operation: "3", Caller: "client", Proxy: "p", Service: "shop", Sent: 6 * s, Received: 7 * s, Outcome: "unknown"},
			{Operation: "4", Caller: "client", Proxy: "p", Service: "shop", Sent: 20 * s, Received: 21 * s, Outcome: outcomeDisconnected},
		},
		Executions: []ExecutionEntry{{Operation: "1", Caller: "client", Service: "shop", Version: versionOld, Worker: "w", At: 10 * s},
			{Operation: "3", Caller: "client", Service: "shop", Version: versionOld, Worker: "w", At: 6 * s}},
		ExecutionEnds:  []ExecutionEndEntry{{Operation: "4", Worker: "w", At: 21 * s, ConnectionLost: true}},
		Disconnects:    map[string]dispatch.DisconnectCounts{"p 1": {Canceled: 1}},
		Changes:        []ChangeEntry{{ID: "c", Answered: 9 * s, Ruling: "accepted", Sequence: 5, Acknowledged: true}, {ID: "bad", Invalid: true, Ruling: "invalid", InvalidItem: "route/bad"}},
		FaultyVersions: []FaultyVersionEntry{{Service: "shop", Version: versionNew}},
		WorkerExits:    []WorkerExitEntry{{Worker: "w", At: 9 * s}},
		ConfigViews:    []ConfigViewEntry{{Node: "registry/a", Requested: 10 * s, Received: 10 * s, ConfigRevision: 5, Items: []string{"route/ok"}}},
	}
}

// TestInvariantsDetectViolations checks each invariant twice. On the valid history it must check something and find no
// violation. On the same history with one violation added, it must find that.
func TestInvariantsDetectViolations(t *testing.T) {
	s := time.Second
	violations := []func(*History){ // one for each of invariants, in the same order
		func(h *History) { h.Executions = append(h.Executions, h.Executions[0]) },
		func(h *History) { h.Executions[0].Operation = "2" },
		func(h *History) { h.Calls[0].Echoed = "2" },
		func(h *History) { h.Executions[0].Caller = "somebody-else" },
		func(h *History) { h.Executions[0].Version = versionNotAllowed },
		func(h *History) { h.Executions[0].At = 12 * s },
		func(h *History) { h.Calls[1].ConfigRevision = 4 },
		func(h *History) {
			h.ConfigViews = append(h.ConfigViews, ConfigViewEntry{Node: "registry/a", Requested: 11 * s, Received: 11 * s, ConfigRevision: 4})
		},
		func(h *History) { h.ConfigViews[0].Items = append(h.ConfigViews[0].Items, "route/bad") },
		func(h *History) {
			for i := range 60 {
				h.Executions = append(h.Executions, ExecutionEntry{Service: "shop", Version: versionNew, Faulty: true, At: time.Duration(i) * s})
			}
		},
		func(h *History) { h.Calls[1].Attempts = 100 },
		func(h *History) { h.LostChanges = []string{"c"} },
		func(h *History) { h.Faults = nil },
		func(h *History) { h.ExecutionEnds[0].At = 22 * s },
		func(h *History) { h.Disconnects["p 1"] = dispatch.DisconnectCounts{Canceled: 1, Overrun: 1} },
		func(h *History) {
			h.Faults = []FaultEntry{{Name: "proxy killed", At: 30 * s, MayReject: true}, {Name: "core machine killed", At: 5 * s, HitsCore: true}}
		},
	}
	if len(violations) != len(invariants) {
		t.Fatalf("the test has %d violations for %d invariants, want one for each", len(violations), len(invariants))
	}
	for i, violate := range violations {
		t.Run(invariants[i].rule, func(t *testing.T) {
			history := validHistory()
			if finding := CheckInvariants(history, nil)[i]; finding.Violations != 0 || finding.Checked == 0 {
				t.Errorf("CheckInvariants() on the valid history: got %+v, want 0 violations and at least 1 checked entry", finding)
			}
			violate(history)
			if finding := CheckInvariants(history, nil)[i]; finding.Violations == 0 {
				t.Errorf("CheckInvariants() on a history that violates %q: got %+v, want a violation", finding.Rule, finding)
			}
		})
	}
}
