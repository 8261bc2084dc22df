package testbed

import (
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// CallEntry is one attempt of a call, as its caller saw it. Times in this and all other entries are measured from the
// beginning of the run.
type CallEntry struct {
	Operation      string        `json:"op"`                // unique name of the call, the same for all attempts of its caller
	Caller         string        `json:"caller"`            // clientCaller or the name of a service
	Proxy          string        `json:"proxy"`             // name of the proxy that the caller called
	Service        string        `json:"service"`           // service that the route leads to
	Route          string        `json:"route"`             // name of the route
	NonIdempotent  bool          `json:"once"`              // the request must not be executed more than once
	Keyed          bool          `json:"keyed,omitempty"`   // the request has an idempotency key, which equals Operation
	CallerRetry    int           `json:"ask,omitempty"`     // number of earlier attempts of the caller; 0 for the first attempt
	Sent           time.Duration `json:"sent"`              // time at which the caller sent the request
	Received       time.Duration `json:"got"`               // time at which the caller got the response or gave up
	Status         int           `json:"status"`            // HTTP status; 0 if there was no response
	Outcome        string        `json:"outcome"`           // outcome from the proxy, or unsent, unknown or outcomeDisconnected
	ErrorCode      string        `json:"defect,omitempty"`  // error code of a rejection
	Version        string        `json:"version,omitempty"` // version of the worker, as the proxy reported it
	ConfigRevision uint64        `json:"setup,omitempty"`   // configuration that the proxy used; 0 if it reported none
	Attempts       int           `json:"tries"`             // number of attempts that the proxy made
	Echoed         string        `json:"echoed,omitempty"`  // operation that the response names
	Worker         string        `json:"worker,omitempty"`  // worker that the response names
	Intact         bool          `json:"whole"`             // the checksum of the response matches its content
}

// ExecutionEntry is one execution of a request by a worker.
type ExecutionEntry struct {
	Operation   string        `json:"op"`            // operation that the request named
	CallerRetry int           `json:"ask,omitempty"` // CallEntry.CallerRetry of the request
	Caller      string        `json:"caller"`        // caller that the proxy named to the worker
	Service     string        `json:"service"`       // service of the worker
	Version     string        `json:"version"`       // version of the worker
	Worker      string        `json:"worker"`        // name of the worker
	At          time.Duration `json:"at"`            // time at which the execution began
	Faulty      bool          `json:"ill"`           // a WorkerFault applied to the execution
}

// ExecutionEndEntry is the end of an execution whose request asked for a duration; see workDurationHeader.
type ExecutionEndEntry struct {
	Operation      string        `json:"op"`     // operation that the request named
	Worker         string        `json:"worker"` // name of the worker
	At             time.Duration `json:"at"`     // time at which the execution ended
	ConnectionLost bool          `json:"broken"` // the connection ended before the requested duration was over
}

// FaultyVersionEntry records that all workers of a version became faulty.
type FaultyVersionEntry struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	From    time.Duration `json:"from"` // time at which the workers became faulty
}

// ReleaseEntry is the state of a release plan, as a registry showed it to an operator.
type ReleaseEntry struct {
	At       time.Duration `json:"at"`       // time at which the state was read
	Release  string        `json:"release"`  // name of the release plan
	State    string        `json:"state"`    // state of the release plan
	Reason   string        `json:"reason"`   // reason that the registry gave for the state
	SetPoint float64       `json:"setPoint"` // percentage of the service's calls that the new version is to get
	// MeasuredPercentage is the percentage of the service's executions since the last read that were on the new version.
	MeasuredPercentage float64 `json:"measured"`
}

// ChangeEntry is one configuration change, as its operator saw it.
type ChangeEntry struct {
	ID           string        `json:"id"`               // unique id of the change
	Invalid      bool          `json:"invalid"`          // the change has to be rejected
	Sent         time.Duration `json:"sent"`             // time at which the operator submitted the change
	Answered     time.Duration `json:"got"`              // time at which the operator got the response or gave up
	Ruling       string        `json:"ruling"`           // ruling of the registry; unknown if there was no valid response
	Sequence     uint64        `json:"sequence"`         // configuration revision that the change made; 0 unless it was accepted
	Acknowledged bool          `json:"acknowledged"`     // the registry reported that no proxy uses an older revision any more
	InvalidItem  string        `json:"marker,omitempty"` // key of an item that only this change names; empty if the change is valid
}

// WorkerExitEntry records that a worker reported that it is draining, or that it was killed without such a report.
type WorkerExitEntry struct {
	Worker string        `json:"worker"` // name of the worker
	At     time.Duration `json:"at"`     // time of the report or, without one, of the kill
}

// ConfigViewEntry is the configuration that a node showed at one time.
type ConfigViewEntry struct {
	Node           string        `json:"node"`            // name of the registry or proxy
	Requested      time.Duration `json:"asked"`           // time at which the configuration was requested
	Received       time.Duration `json:"got"`             // time at which the response was received
	ConfigRevision uint64        `json:"setup"`           // revision of the configuration
	Items          []string      `json:"items,omitempty"` // keys of its items; none if a proxy showed only the revision
}

// FaultEntry is a fault that the run injected.
type FaultEntry struct {
	Name   string        `json:"what"` // name of the scenario step or random fault
	Target string        `json:"on"`   // process, worker or link that the fault acted on
	At     time.Duration `json:"at"`   // time at which the fault began
	// End is the time at which the fault ended; 0 if it lasts until the next fault begins or the run ends.
	End       time.Duration `json:"end,omitempty"`
	MayReject bool          `json:"costs,omitempty"` // the fault may cause rejections
	// HitsCore is set if a random fault affects a core machine or its disk. One such fault at a time is harmless. Steps at
	// fixed times set neither HitsCore nor DelaysPeerMessages.
	HitsCore           bool `json:"core,omitempty"`
	DelaysPeerMessages bool `json:"mute,omitempty"` // the fault delays messages between proxies
}

// History is everything that was observed from outside the mesh in one run, and the limits that it is checked against.
type History struct {
	lock           sync.Mutex // guards all lists and Disconnects during the run
	Calls          []CallEntry
	Executions     []ExecutionEntry
	ExecutionEnds  []ExecutionEndEntry
	Changes        []ChangeEntry
	WorkerExits    []WorkerExitEntry
	ConfigViews    []ConfigViewEntry // what registries showed to operators; see configViewsByNode for proxies
	Faults         []FaultEntry      // ordered by At
	FaultyVersions []FaultyVersionEntry
	Releases       []ReleaseEntry
	// Disconnects holds the last counts that were read from each incarnation of each proxy. The key is the proxy's
	// name and process id.
	Disconnects map[string]dispatch.DisconnectCounts
	// MisdirectedRequests describes the requests that a worker rejected because they carried another worker's token.
	MisdirectedRequests []string

	// SurvivedChanges is the number of acknowledged changes that still had their outcome at the end of the run.
	// verifyAcknowledgedChanges sets it and LostChanges.
	SurvivedChanges int
	// LostChanges describes the acknowledged changes that had another outcome, or none, at the end of the run.
	LostChanges []string

	// Lease is Options.Lease.
	Lease time.Duration
	// DrainingBound is Options.DrainingBound: the required 2 s, or more on machines of unknown speed.
	DrainingBound time.Duration
	// DisconnectBound is Options.DisconnectBound.
	DisconnectBound time.Duration
	// CheckRejections is Options.CheckRejections.
	CheckRejections bool
}

// appendEntry adds an entry to one of the history's lists, under the history's lock.
func appendEntry[T any](history *History, list *[]T, entry T) {
	history.lock.Lock()
	defer history.lock.Unlock()
	*list = append(*list, entry)
}

// addFault records the beginning of a fault and returns its index in Faults.
func (h *History) addFault(entry FaultEntry) int {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Faults = append(h.Faults, entry)
	return len(h.Faults) - 1
}

// setFaultTarget records the process, worker or link that a fault acted on.
func (h *History) setFaultTarget(index int, target string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Faults[index].Target = target
}

// endFault records the end of a fault and returns its name.
func (h *History) endFault(index int, at time.Duration) string {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Faults[index].End = at
	return h.Faults[index].Name
}
