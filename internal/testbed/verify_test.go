package testbed

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/registry"
)

// TestAwaitOutcome checks that awaitOutcome returns the first outcome that any registry knows, that it waits while no
// registry knows one, and that it returns the zero value after maxOutcomeWait.
func TestAwaitOutcome(t *testing.T) {
	accepted, other := registry.ChangeResponse{Ruling: "accepted", Revision: 7}, registry.ChangeResponse{Ruling: "conflict", Revision: 7}
	for name, testCase := range map[string]struct {
		request func(since time.Duration, core int) (registry.ChangeResponse, int, error)
		want    registry.ChangeResponse
		maxWait time.Duration
	}{
		"a known outcome is returned at once": {func(time.Duration, int) (registry.ChangeResponse, int, error) { return accepted, http.StatusOK, nil }, accepted, 0},
		"the other registries are asked if one does not know": {func(_ time.Duration, core int) (registry.ChangeResponse, int, error) {
			if core < 2 {
				return registry.ChangeResponse{}, http.StatusNotFound, nil
			}
			return accepted, http.StatusOK, nil
		}, accepted, 0},
		"a registry without a majority is asked again": {func(since time.Duration, _ int) (registry.ChangeResponse, int, error) {
			if since < 20*time.Second {
				return registry.ChangeResponse{}, http.StatusServiceUnavailable, nil
			}
			return accepted, http.StatusOK, nil
		}, accepted, 21 * time.Second},
		"a different ruling is returned at once": {func(time.Duration, int) (registry.ChangeResponse, int, error) { return other, http.StatusOK, nil }, other, 0},
		"an outcome that no registry knows is lost": {func(time.Duration, int) (registry.ChangeResponse, int, error) {
			return registry.ChangeResponse{}, http.StatusNotFound, nil
		}, registry.ChangeResponse{}, maxOutcomeWait + time.Second},
		"an outcome is lost if no registry can be reached": {func(time.Duration, int) (registry.ChangeResponse, int, error) {
			return registry.ChangeResponse{}, 0, errors.New("gone")
		}, registry.ChangeResponse{}, maxOutcomeWait + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				now := func() time.Duration { return time.Since(began) }
				got := awaitOutcome(3, now, func(core int) (registry.ChangeResponse, int, error) { return testCase.request(now(), core) })
				if got.Ruling != testCase.want.Ruling || got.Revision != testCase.want.Revision || now() > testCase.maxWait {
					t.Errorf("awaitOutcome() = %+v after %v, want %+v within %v", got, now(), testCase.want, testCase.maxWait)
				}
			})
		})
	}
}
