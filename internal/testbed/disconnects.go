package testbed

import (
	"fmt"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// disconnectsInterval is between two reads of the proxies' counts of disconnected callers.
const disconnectsInterval = time.Second

// watchDisconnects keeps the last counts of each incarnation of each proxy, until stop closes.
func (r *testRun) watchDisconnects(stop <-chan struct{}) {
	for {
		r.recordDisconnects()
		select {
		case <-stop:
			return
		case <-time.After(disconnectsInterval):
		}
	}
}

// recordDisconnects reads the counts of every proxy that answers.
func (r *testRun) recordDisconnects() {
	var polling sync.WaitGroup
	for _, process := range r.fleet.Proxies {
		polling.Go(func() {
			incarnation := fmt.Sprint(process.Name, " ", process.pid())
			var status struct {
				Disconnects dispatch.DisconnectCounts `json:"departures"`
			}
			if process.getPage("/status", &status) != nil {
				return
			}
			r.history.lock.Lock()
			defer r.history.lock.Unlock()
			if r.history.Disconnects == nil {
				r.history.Disconnects = map[string]dispatch.DisconnectCounts{}
			}
			r.history.Disconnects[incarnation] = status.Disconnects
		})
	}
	polling.Wait()
}

// totalDisconnects sums the counts of all incarnations.
func (h *History) totalDisconnects() dispatch.DisconnectCounts {
	var sum dispatch.DisconnectCounts
	for _, counts := range h.Disconnects {
		sum.Add(counts)
	}
	return sum
}
