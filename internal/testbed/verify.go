package testbed

import (
	"fmt"
	"net/http"
	"time"

	"meadowhinge/internal/registry"
)

// awaitRecovery waits until the whole fleet is ready and a change is acknowledged.
func (c *testRun) awaitRecovery() time.Duration {
	began := c.now()
	operator := NewOperator("closing", c.fleet, c.history, c.now)
	for attempt := 0; c.now()-began < time.Minute; attempt++ {
		ready := true
		for _, process := range c.fleet.Processes() {
			ready = ready && process.Ready()
		}
		if ready && operator.SubmitChange(attempt%c.options.Deployment.CoreMembers, fmt.Sprintf("segment: closing: {salt: \"%d\"}\n", attempt), "").Acknowledged {
			return c.now() - began
		}
		time.Sleep(100 * time.Millisecond)
	}
	return c.now() - began
}

// verifyAcknowledgedChanges asks what became of each acknowledged change, and notes those that are not there.
func (c *testRun) verifyAcknowledgedChanges() {
	operator := NewOperator("auditor", c.fleet, c.history, c.now)
	c.history.lock.Lock()
	changes := append([]ChangeEntry(nil), c.history.Changes...)
	c.history.lock.Unlock()
	for i, change := range changes {
		if !change.Acknowledged {
			continue
		}
		answer := awaitOutcome(c.options.Deployment.CoreMembers, c.now, func(core int) (answer registry.ChangeResponse, status int, err error) {
			status, err = operator.call((i+core)%c.options.Deployment.CoreMembers, http.MethodGet, "/v1/changes/"+change.ID, nil, &answer)
			return answer, status, err
		})
		if answer.Ruling == "accepted" && answer.Sequence == change.Sequence {
			c.history.SurvivedChanges++
			continue
		}
		c.history.LostChanges = append(c.history.LostChanges, fmt.Sprintf("%s, acknowledged as %d, is now %q %d", change.ID, change.Sequence, answer.Ruling, answer.Sequence))
	}
}

// maxOutcomeWait is how long it is asked what became of a change that no registry can tell.
const maxOutcomeWait = time.Minute

// awaitOutcome asks one registry after another what became of a change, until one tells. One that
// cannot know it now, for want of a majority or because it is behind, does not tell of a loss.
func awaitOutcome(cores int, now func() time.Duration, ask func(core int) (registry.ChangeResponse, int, error)) registry.ChangeResponse {
	began := now()
	for {
		for core := range cores {
			if answer, status, err := ask(core); err == nil && status == http.StatusOK {
				return answer
			}
		}
		if now()-began > maxOutcomeWait {
			return registry.ChangeResponse{}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
