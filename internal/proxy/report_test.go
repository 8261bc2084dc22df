package proxy

import (
	"testing"
	"time"
)

// Under a lease workers are reported renewalsPerLease times per lease. Without a lease they are reported only after a
// change or a failed report. Verdict counts have a separate interval.
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
		"lease, first turn":            {wantWorkers: true, wantNextTurn: lease / reportsPerLease},
		"lease, turn without workers":  {turn: 3, wantNextTurn: lease / reportsPerLease},
		"lease, turn with workers":     {turn: 4, wantWorkers: true, wantNextTurn: lease / reportsPerLease},
		"lease, verdict counts due":    {turn: 1, now: 4 * time.Second, wantVerdicts: true, wantNextTurn: lease / reportsPerLease},
		"no lease, nothing changed":    {servesStale: true, turn: 4, now: 15 * time.Second, wantNextTurn: 16 * time.Second},
		"no lease, workers changed":    {servesStale: true, turn: 1, reportWorkers: true, wantWorkers: true, wantNextTurn: 16 * time.Second},
		"no lease, verdict counts due": {servesStale: true, turn: 1, now: 16 * time.Second, wantVerdicts: true, wantNextTurn: 16 * time.Second},
		"no lease, last report failed": {
			servesStale: true, turn: 1, reportWorkers: true, wantWorkers: true, retry: true, wantNextTurn: 200 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := newReportSchedule(test.servesStale, lease)
			if !schedule.reportWorkers {
				t.Error("newReportSchedule: reportWorkers is false, want true for the first turn")
			}
			schedule.turn, schedule.reportWorkers = test.turn, test.reportWorkers
			if workers, verdicts := schedule.due(test.now); workers != test.wantWorkers || verdicts != test.wantVerdicts {
				t.Errorf("due(%s) = workers %t, verdict counts %t; want %t, %t",
					test.now, workers, verdicts, test.wantWorkers, test.wantVerdicts)
			}
			if got := schedule.nextTurn(test.retry); got != test.wantNextTurn {
				t.Errorf("nextTurn(%t) = %s, want %s", test.retry, got, test.wantNextTurn)
			}
		})
	}
}
