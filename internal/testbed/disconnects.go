package testbed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// disconnectsInterval is how often proxies are asked what they count of departures.
const disconnectsInterval = time.Second

// watchDisconnects keeps the last counts of each life of each proxy.
func (c *testRun) watchDisconnects(stop <-chan struct{}) {
	for {
		c.recordDisconnects()
		select {
		case <-stop:
			return
		case <-time.After(disconnectsInterval):
		}
	}
}

// recordDisconnects asks every proxy that can be asked.
func (c *testRun) recordDisconnects() {
	var polling sync.WaitGroup
	for _, process := range c.fleet.Proxies {
		polling.Go(func() {
			incarnation := fmt.Sprint(process.Name, " ", process.pid())
			response, err := probeClient.Get("http://" + process.probeAddress + "/status")
			if err != nil {
				return
			}
			defer response.Body.Close()
			var status struct{ Departures dispatch.DisconnectCounts }
			if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&status) != nil {
				return
			}
			c.history.lock.Lock()
			defer c.history.lock.Unlock()
			if c.history.Disconnects == nil {
				c.history.Disconnects = map[string]dispatch.DisconnectCounts{}
			}
			c.history.Disconnects[incarnation] = status.Departures
		})
	}
	polling.Wait()
}

// totalDisconnects sums the counts of all lives.
func (l *History) totalDisconnects() dispatch.DisconnectCounts {
	var sum dispatch.DisconnectCounts
	for _, counts := range l.Disconnects {
		sum.Add(counts)
	}
	return sum
}
