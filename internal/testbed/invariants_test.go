package testbed

import (
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
)

// validHistory is a ledger without a breach, touching every rule.
func validHistory() *History {
	s := time.Second
	return &History{
		DrainingBound: 2 * s, DisconnectBound: s / 2, Lease: 8 * s, CheckRejections: true, SurvivedChanges: 1,
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

// Each checker holds on the good ledger, having judged something, and fails on one breach.
func TestCheckersSeeBreaches(t *testing.T) {
	s := time.Second
	breaches := []func(*History){
		func(l *History) { l.Executions = append(l.Executions, l.Executions[0]) },
		func(l *History) { l.Executions[0].Operation = "2" },
		func(l *History) { l.Calls[0].Echoed = "2" },
		func(l *History) { l.Executions[0].Caller = "somebody-else" },
		func(l *History) { l.Executions[0].Version = versionNotAllowed },
		func(l *History) { l.Executions[0].At = 12 * s },
		func(l *History) { l.Calls[1].ConfigRevision = 4 },
		func(l *History) {
			l.ConfigViews = append(l.ConfigViews, ConfigViewEntry{Node: "registry/a", Requested: 11 * s, Received: 11 * s, ConfigRevision: 4})
		},
		func(l *History) { l.ConfigViews[0].Items = append(l.ConfigViews[0].Items, "route/bad") },
		func(l *History) {
			for i := range 60 {
				l.Executions = append(l.Executions, ExecutionEntry{Service: "shop", Version: versionNew, Faulty: true, At: time.Duration(i) * s})
			}
		},
		func(l *History) { l.Calls[1].Attempts = 100 },
		func(l *History) { l.LostChanges = []string{"c"} },
		func(l *History) { l.Faults = nil },
		func(l *History) { l.ExecutionEnds[0].At = 22 * s },
		func(l *History) { l.Disconnects["p 1"] = dispatch.DisconnectCounts{Canceled: 1, Overrun: 1} },
		func(l *History) {
			l.Faults = []FaultEntry{{Name: "proxy killed", At: 30 * s, MayReject: true}, {Name: "core machine killed", At: 5 * s, HitsCore: true}}
		},
	}
	if len(breaches) != len(invariants) {
		t.Fatalf("%d breaches for %d checkers", len(breaches), len(invariants))
	}
	for i, breach := range breaches {
		ledger := validHistory()
		if finding := CheckInvariants(ledger, nil)[i]; finding.Violations != 0 || finding.Checked == 0 {
			t.Errorf("%s: on the good ledger %+v", finding.Rule, finding)
		}
		breach(ledger)
		if finding := CheckInvariants(ledger, nil)[i]; finding.Violations == 0 {
			t.Errorf("%s: the breach was not seen", finding.Rule)
		}
	}
}
