package testbed

import (
	"fmt"
	"net/http"
	"time"

	"meadowhinge/internal/registry"
)

// awaitRecovery waits until every process is ready and a change is acknowledged. It gives up after about a minute. It
// returns how long it waited.
func (r *testRun) awaitRecovery() time.Duration {
	began := r.now()
	operator := NewOperator("closing", r.fleet, r.history, r.now)
	for attempt := 0; r.now()-began < time.Minute; attempt++ {
		ready := true
		for _, process := range r.fleet.Processes() {
			ready = ready && process.Ready()
		}
		text := fmt.Sprintf("segment: closing: {salt: \"%d\"}\n", attempt)
		if ready && operator.SubmitChange(attempt%r.options.Deployment.CoreMembers, text, "").Acknowledged {
			return r.now() - began
		}
		time.Sleep(100 * time.Millisecond)
	}
	return r.now() - began
}

// verifyAcknowledgedChanges requests the outcome of each acknowledged change, and records how many still have it and
// which do not.
func (r *testRun) verifyAcknowledgedChanges() {
	operator := NewOperator("auditor", r.fleet, r.history, r.now)
	r.history.lock.Lock()
	changes := append([]ChangeEntry(nil), r.history.Changes...)
	r.history.lock.Unlock()
	for i, change := range changes {
		if !change.Acknowledged {
			continue
		}
		answer := awaitOutcome(r.options.Deployment.CoreMembers, r.now, func(core int) (answer registry.ChangeResponse, status int, err error) {
			status, err = operator.call((i+core)%r.options.Deployment.CoreMembers, http.MethodGet, "/v1/changes/"+change.ID, nil, &answer)
			return answer, status, err
		})
		if answer.Ruling == "accepted" && answer.Revision == change.Sequence {
			r.history.SurvivedChanges++
			continue
		}
		lost := fmt.Sprintf("%s, acknowledged as %d, is now %q %d", change.ID, change.Sequence, answer.Ruling, answer.Revision)
		r.history.LostChanges = append(r.history.LostChanges, lost)
	}
}

// maxOutcomeWait is the time after which awaitOutcome stops requesting the outcome of a change.
const maxOutcomeWait = time.Minute

// awaitOutcome requests the outcome of a change from the registries in turn, until one of them knows it. A registry
// that has no majority or lags behind may not know it yet, so one failed request does not mean that the change is
// lost. It returns the zero value if no registry knows the outcome for longer than maxOutcomeWait.
func awaitOutcome(cores int, now func() time.Duration, request func(core int) (registry.ChangeResponse, int, error)) registry.ChangeResponse {
	began := now()
	for {
		for core := range cores {
			if answer, status, err := request(core); err == nil && status == http.StatusOK {
				return answer
			}
		}
		if now()-began > maxOutcomeWait {
			return registry.ChangeResponse{}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
