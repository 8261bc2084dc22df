package rehearsal

import (
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
)

// good is a ledger without a breach, touching every rule.
func good() *Ledger {
	s := time.Second
	return &Ledger{
		LeaveBound: 2 * s, DepartBound: s / 2, Lease: 8 * s, Timed: true, Survived: 1,
		Faults: []FaultEntry{{What: "proxy killed", At: 5 * s, End: 6 * s, Costs: true}},
		Calls: []CallEntry{
			{Op: "1", Caller: "client", Proxy: "p", Service: "shop", Once: true, Sent: 10 * s, Got: 11 * s, Outcome: "answered", Setup: 5, Tries: 2, Echoed: "1", Whole: true},
			{Op: "2", Caller: "client", Proxy: "p", Service: "shop", Once: true, Sent: 12 * s, Got: 13 * s, Outcome: "not-run", Setup: 6, Tries: 1},
			{Op: "3", Caller: "client", Proxy: "p", Service: "shop", Sent: 6 * s, Got: 7 * s, Outcome: "unknown"},
			{Op: "4", Caller: "client", Proxy: "p", Service: "shop", Sent: 20 * s, Got: 21 * s, Outcome: outcomeLeft},
		},
		Runs: []RunEntry{{Op: "1", Caller: "client", Service: "shop", Version: versionOld, Worker: "w", At: 10 * s},
			{Op: "3", Caller: "client", Service: "shop", Version: versionOld, Worker: "w", At: 6 * s}},
		Ends:       []EndEntry{{Op: "4", Worker: "w", At: 21 * s, Broken: true}},
		Departures: map[string]dispatch.DisconnectCounts{"p 1": {Canceled: 1}},
		Changes:    []ChangeEntry{{ID: "c", Got: 9 * s, Ruling: "accepted", Sequence: 5, Acknowledged: true}, {ID: "bad", Invalid: true, Ruling: "invalid", Marker: "route/bad"}},
		Bad:        []BadEntry{{Service: "shop", Version: versionNew}},
		Leaves:     []LeaveEntry{{Worker: "w", At: 9 * s}},
		Shown:      []ShownEntry{{Node: "registry/a", Asked: 10 * s, Got: 10 * s, Setup: 5, Items: []string{"route/ok"}}},
	}
}

// Each checker holds on the good ledger, having judged something, and fails on one breach.
func TestCheckersSeeBreaches(t *testing.T) {
	s := time.Second
	breaches := []func(*Ledger){
		func(l *Ledger) { l.Runs = append(l.Runs, l.Runs[0]) },
		func(l *Ledger) { l.Runs[0].Op = "2" },
		func(l *Ledger) { l.Calls[0].Echoed = "2" },
		func(l *Ledger) { l.Runs[0].Caller = "somebody-else" },
		func(l *Ledger) { l.Runs[0].Version = versionBarred },
		func(l *Ledger) { l.Runs[0].At = 12 * s },
		func(l *Ledger) { l.Calls[1].Setup = 4 },
		func(l *Ledger) {
			l.Shown = append(l.Shown, ShownEntry{Node: "registry/a", Asked: 11 * s, Got: 11 * s, Setup: 4})
		},
		func(l *Ledger) { l.Shown[0].Items = append(l.Shown[0].Items, "route/bad") },
		func(l *Ledger) {
			for i := range 60 {
				l.Runs = append(l.Runs, RunEntry{Service: "shop", Version: versionNew, Ill: true, At: time.Duration(i) * s})
			}
		},
		func(l *Ledger) { l.Calls[1].Tries = 100 },
		func(l *Ledger) { l.Lost = []string{"c"} },
		func(l *Ledger) { l.Faults = nil },
		func(l *Ledger) { l.Ends[0].At = 22 * s },
		func(l *Ledger) { l.Departures["p 1"] = dispatch.DisconnectCounts{Canceled: 1, Overrun: 1} },
		func(l *Ledger) {
			l.Faults = []FaultEntry{{What: "proxy killed", At: 30 * s, Costs: true}, {What: "core machine killed", At: 5 * s, Core: true}}
		},
	}
	if len(breaches) != len(checkers) {
		t.Fatalf("%d breaches for %d checkers", len(breaches), len(checkers))
	}
	for i, breach := range breaches {
		ledger := good()
		if finding := Judge(ledger, nil)[i]; finding.Breaches != 0 || finding.Judged == 0 {
			t.Errorf("%s: on the good ledger %+v", finding.Rule, finding)
		}
		breach(ledger)
		if finding := Judge(ledger, nil)[i]; finding.Breaches == 0 {
			t.Errorf("%s: the breach was not seen", finding.Rule)
		}
	}
}
