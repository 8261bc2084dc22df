package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"meadowhinge/internal/registry"
)

// fetchTraces requests the trace of a change from each core member once. It returns the traces sorted by
// member id, and the addresses that returned none. Each request takes at most timeout.
func fetchTraces(addresses []string, id string, timeout time.Duration) (traces []registry.ChangeTrace, unreachable []string) {
	client := &http.Client{Timeout: timeout}
	for _, address := range addresses {
		trace, found := fetchTrace(client, address, id)
		if !found {
			unreachable = append(unreachable, address)
			continue
		}
		traces = append(traces, trace)
	}
	sort.Slice(traces, func(i, j int) bool { return traces[i].MemberID < traces[j].MemberID })
	return traces, unreachable
}

// fetchTrace requests the trace of a change from one core member. It returns no error, because the caller
// treats every failure alike.
func fetchTrace(client *http.Client, address, id string) (trace registry.ChangeTrace, found bool) {
	response, err := client.Get("http://" + address + "/v1/trace/" + id)
	if err != nil {
		return trace, false
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	err = json.NewDecoder(response.Body).Decode(&trace)
	return trace, err == nil && response.StatusCode == http.StatusOK
}
