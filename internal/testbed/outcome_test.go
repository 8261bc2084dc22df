package testbed

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/registry"
)

// TestAwaitOutcome checks that a registry that does not know an outcome proves no loss, that one that does is
// believed at once, whatever the outcome, and that what no registry knows for long counts as lost.
func TestAwaitOutcome(t *testing.T) {
	accepted, other := registry.ChangeResponse{Ruling: "accepted", Sequence: 7}, registry.ChangeResponse{Ruling: "conflict", Sequence: 7}
	for name, testCase := range map[string]struct {
		ask  func(since time.Duration, core int) (registry.ChangeResponse, int, error)
		want registry.ChangeResponse
		most time.Duration
	}{
		"told at once": {func(time.Duration, int) (registry.ChangeResponse, int, error) { return accepted, http.StatusOK, nil }, accepted, 0},
		"only the third knows": {func(_ time.Duration, core int) (registry.ChangeResponse, int, error) {
			if core < 2 {
				return registry.ChangeResponse{}, http.StatusNotFound, nil
			}
			return accepted, http.StatusOK, nil
		}, accepted, 0},
		"no majority for a while": {func(since time.Duration, _ int) (registry.ChangeResponse, int, error) {
			if since < 20*time.Second {
				return registry.ChangeResponse{}, http.StatusServiceUnavailable, nil
			}
			return accepted, http.StatusOK, nil
		}, accepted, 21 * time.Second},
		"another ruling": {func(time.Duration, int) (registry.ChangeResponse, int, error) { return other, http.StatusOK, nil }, other, 0},
		"lost": {func(time.Duration, int) (registry.ChangeResponse, int, error) {
			return registry.ChangeResponse{}, http.StatusNotFound, nil
		}, registry.ChangeResponse{}, maxOutcomeWait + time.Second},
		"nobody answers": {func(time.Duration, int) (registry.ChangeResponse, int, error) {
			return registry.ChangeResponse{}, 0, errors.New("gone")
		}, registry.ChangeResponse{}, maxOutcomeWait + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				now := func() time.Duration { return time.Since(began) }
				got := awaitOutcome(3, now, func(core int) (registry.ChangeResponse, int, error) { return testCase.ask(now(), core) })
				if got.Ruling != testCase.want.Ruling || got.Sequence != testCase.want.Sequence || now() > testCase.most {
					t.Errorf("got %v after %v", got, now())
				}
			})
		})
	}
}
