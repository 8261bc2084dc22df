package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"meadowhinge/internal/registry"
)

// fetchTraces asks each core member once for its trace of a change. Traces are sorted by member;
// unreachable lists the addresses that gave none.
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

// fetchTrace asks one core member. Why it gave no trace makes no difference to the caller.
func fetchTrace(client *http.Client, address, id string) (trace registry.ChangeTrace, found bool) {
	response, err := client.Get("http://" + address + "/v1/trace/" + id)
	if err != nil {
		return trace, false
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	err = json.NewDecoder(response.Body).Decode(&trace)
	return trace, err == nil && response.StatusCode == http.StatusOK
}
