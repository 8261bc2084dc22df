package testbed

import (
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// CallEntry is one request as its caller saw it. Times of all entries are since the run began.
type CallEntry struct {
	Operation      string        `json:"op"`
	Caller         string        `json:"caller"`
	Proxy          string        `json:"proxy"`
	Service        string        `json:"service"`
	Route          string        `json:"route"`
	NonIdempotent  bool          `json:"once"`
	Keyed          bool          `json:"keyed,omitempty"` // under an idempotency key, which is its operation
	CallerRetry    int           `json:"ask,omitempty"`   // 0 for the first attempt of the caller, which retries at other proxies
	Sent           time.Duration `json:"sent"`
	Received       time.Duration `json:"got"`
	Status         int           `json:"status"` // 0: no response from the proxy
	Outcome        string        `json:"outcome"`
	ErrorCode      string        `json:"defect,omitempty"`
	Version        string        `json:"version,omitempty"`
	ConfigRevision uint64        `json:"setup,omitempty"`
	Attempts       int           `json:"tries"`
	Echoed         string        `json:"echoed,omitempty"` // the operation that the response says it is for
	Worker         string        `json:"worker,omitempty"`
	Intact         bool          `json:"whole"` // the response's own checksum is right
}

// ExecutionEntry is one request as a worker executed it.
type ExecutionEntry struct {
	Operation   string        `json:"op"`
	CallerRetry int           `json:"ask,omitempty"`
	Caller      string        `json:"caller"` // as the proxy said
	Service     string        `json:"service"`
	Version     string        `json:"version"`
	Worker      string        `json:"worker"`
	At          time.Duration `json:"at"`
	Faulty      bool          `json:"ill"` // the worker was faulty: it failed, or was far too slow
}

// ExecutionEndEntry is the end of an execution that was asked to take its time; see workDurationHeader.
type ExecutionEndEntry struct {
	Operation      string        `json:"op"`
	Worker         string        `json:"worker"`
	At             time.Duration `json:"at"`
	ConnectionLost bool          `json:"broken"` // its connection ended before its time was over
}

// FaultyVersionEntry is a version that is faulty from a time on.
type FaultyVersionEntry struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	From    time.Duration `json:"from"`
}

// ReleaseEntry is a release plan as an operator saw it.
type ReleaseEntry struct {
	At                 time.Duration `json:"at"`
	Release            string        `json:"release"`
	State              string        `json:"state"`
	Reason             string        `json:"reason"`
	SetPoint           float64       `json:"setPoint"`
	MeasuredPercentage float64       `json:"measured"` // of the executions since the last entry
}

// ChangeEntry is one configuration change as its operator saw it.
type ChangeEntry struct {
	ID           string        `json:"id"`
	Invalid      bool          `json:"invalid"` // meant to be rejected
	Sent         time.Duration `json:"sent"`
	Answered     time.Duration `json:"got"`
	Ruling       string        `json:"ruling"`
	Sequence     uint64        `json:"sequence"`
	Acknowledged bool          `json:"acknowledged"`
	InvalidItem  string        `json:"marker,omitempty"` // an item that only an invalid change names
}

// WorkerExitEntry is when a worker reported that it drains, or was killed without.
type WorkerExitEntry struct {
	Worker string        `json:"worker"`
	At     time.Duration `json:"at"`
}

// ConfigViewEntry is a configuration as a node showed it.
type ConfigViewEntry struct {
	Node           string        `json:"node"`
	Requested      time.Duration `json:"asked"`
	Received       time.Duration `json:"got"`
	ConfigRevision uint64        `json:"setup"`
	Items          []string      `json:"items,omitempty"`
}

// FaultEntry is a fault that the run injected.
type FaultEntry struct {
	Name               string        `json:"what"`
	Target             string        `json:"on"`
	At                 time.Duration `json:"at"`
	End                time.Duration `json:"end,omitempty"`   // 0: until the next fault
	MayReject          bool          `json:"costs,omitempty"` // it may cause rejections
	HitsCore           bool          `json:"core,omitempty"`  // it takes a core machine, which alone is harmless
	DelaysPeerMessages bool          `json:"mute,omitempty"`  // it delays messages between proxies
}

// History is all that was seen from outside the mesh in one run, and the bounds that it is checked against.
type History struct {
	lock           sync.Mutex // guards all lists while the run goes on
	Calls          []CallEntry
	Executions     []ExecutionEntry
	ExecutionEnds  []ExecutionEndEntry
	Changes        []ChangeEntry
	WorkerExits    []WorkerExitEntry
	ConfigViews    []ConfigViewEntry
	Faults         []FaultEntry // in the order of their beginnings
	FaultyVersions []FaultyVersionEntry
	Releases       []ReleaseEntry
	// Disconnects are the last counts read from each incarnation of each proxy, by its name and process id.
	Disconnects map[string]dispatch.DisconnectCounts
	// MisdirectedRequests are requests that a worker rejected because they were meant for another.
	MisdirectedRequests []string

	// Set by verifyAcknowledgedChanges: how many acknowledged changes kept their outcome, and what became of
	// the others.
	SurvivedChanges int
	LostChanges     []string

	// Lease, DrainingBound, DisconnectBound and CheckRejections are those of Options. DrainingBound is the
	// rule's 2 s, or more where the speed of the machine is not to be relied on.
	Lease           time.Duration
	DrainingBound   time.Duration
	DisconnectBound time.Duration
	CheckRejections bool
}

// appendEntry adds an entry to one of a history's lists, under its lock.
func appendEntry[T any](history *History, list *[]T, entry T) {
	history.lock.Lock()
	defer history.lock.Unlock()
	*list = append(*list, entry)
}

// addFault records the beginning of a fault and returns its index.
func (h *History) addFault(entry FaultEntry) int {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Faults = append(h.Faults, entry)
	return len(h.Faults) - 1
}

// setFaultTarget records which process or link a fault hit.
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
