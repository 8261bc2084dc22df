package testbed

import (
	"fmt"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// disconnectsInterval is how often proxies are asked what they count of departures.
const disconnectsInterval = time.Second

// watchDisconnects keeps the last counts of each life of each proxy.
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

// recordDisconnects asks every proxy that can be asked.
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

// totalDisconnects sums the counts of all lives.
func (h *History) totalDisconnects() dispatch.DisconnectCounts {
	var sum dispatch.DisconnectCounts
	for _, counts := range h.Disconnects {
		sum.Add(counts)
	}
	return sum
}
