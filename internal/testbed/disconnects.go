package testbed

import (
	"fmt"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// disconnectsInterval is the time between two reads of the proxies' counts of disconnected callers.
const disconnectsInterval = time.Second

// watchDisconnects records the counts of disconnected callers until stop closes. It reads them repeatedly, because the
// counts of a proxy that is killed are lost with it.
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

// recordDisconnects reads the counts of all proxies concurrently and stores them by incarnation. It skips proxies that
// do not answer.
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

// totalDisconnects returns the sum of the counts of all incarnations of all proxies.
func (h *History) totalDisconnects() dispatch.DisconnectCounts {
	var sum dispatch.DisconnectCounts
	for _, counts := range h.Disconnects {
		sum.Add(counts)
	}
	return sum
}
