package proxy

import (
	"testing"
	"time"
)

// Under a lease workers are reported in every turn that renews the lease, without one only when they change or their
// last report failed. Counts of verdicts have an interval of their own.
func TestReportSchedule(t *testing.T) {
	const lease = 8 * time.Second
	for name, test := range map[string]struct {
		servesStale                      bool
		turn                             int
		reportWorkers                    bool
		now                              time.Duration
		wantWorkers, wantVerdicts, retry bool
		wantNextTurn                     time.Duration
	}{
		"leased, first turn":      {wantWorkers: true, wantNextTurn: lease / reportsPerLease},
		"leased, turn between":    {turn: 3, wantNextTurn: lease / reportsPerLease},
		"leased, workers' turn":   {turn: 4, wantWorkers: true, wantNextTurn: lease / reportsPerLease},
		"leased, verdicts due":    {turn: 1, now: 4 * time.Second, wantVerdicts: true, wantNextTurn: lease / reportsPerLease},
		"stale, nothing changed":  {servesStale: true, turn: 4, now: 15 * time.Second, wantNextTurn: 16 * time.Second},
		"stale, workers changed":  {servesStale: true, turn: 1, reportWorkers: true, wantWorkers: true, wantNextTurn: 16 * time.Second},
		"stale, verdicts due":     {servesStale: true, turn: 1, now: 16 * time.Second, wantVerdicts: true, wantNextTurn: 16 * time.Second},
		"stale, last report lost": {servesStale: true, turn: 1, reportWorkers: true, wantWorkers: true, retry: true, wantNextTurn: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := newReportSchedule(test.servesStale, lease)
			if !schedule.reportWorkers {
				t.Error("the first turn does not report the workers")
			}
			schedule.turn, schedule.reportWorkers = test.turn, test.reportWorkers
			if workers, verdicts := schedule.due(test.now); workers != test.wantWorkers || verdicts != test.wantVerdicts {
				t.Errorf("workers %t, verdicts %t", workers, verdicts)
			}
			if got := schedule.nextTurn(test.retry); got != test.wantNextTurn {
				t.Errorf("next turn after %s, want %s", got, test.wantNextTurn)
			}
		})
	}
}
