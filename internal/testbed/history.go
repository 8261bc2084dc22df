package testbed

import (
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// CallEntry is one request as its caller saw it.
type CallEntry struct {
	Operation      string        `json:"op"`
	Caller         string        `json:"caller"`
	Proxy          string        `json:"proxy"`
	Service        string        `json:"service"`
	Route          string        `json:"route"`
	NonIdempotent  bool          `json:"once"`
	Keyed          bool          `json:"keyed,omitempty"` // under an idempotency key, which is its op
	CallerRetry    int           `json:"ask,omitempty"`   // how often it had been asked for before, elsewhere
	Sent           time.Duration `json:"sent"`
	Received       time.Duration `json:"got"`
	Status         int           `json:"status"` // 0: no answer from the proxy
	Outcome        string        `json:"outcome"`
	ErrorCode      string        `json:"defect,omitempty"`
	Version        string        `json:"version,omitempty"`
	ConfigRevision uint64        `json:"setup,omitempty"`
	Attempts       int           `json:"tries"`
	Echoed         string        `json:"echoed,omitempty"` // the op that the answer says it is for
	Worker         string        `json:"worker,omitempty"`
	Intact         bool          `json:"whole"` // the answer's own checksum holds
}

// ExecutionEntry is one request as a worker ran it.
type ExecutionEntry struct {
	Operation   string        `json:"op"`
	CallerRetry int           `json:"ask,omitempty"`
	Caller      string        `json:"caller"` // as the proxy said
	Service     string        `json:"service"`
	Version     string        `json:"version"`
	Worker      string        `json:"worker"`
	At          time.Duration `json:"at"`
	Faulty      bool          `json:"ill"` // it failed, or was far too slow
}

// ExecutionEndEntry is the end of a run that was asked to take its time.
type ExecutionEndEntry struct {
	Operation      string        `json:"op"`
	Worker         string        `json:"worker"`
	At             time.Duration `json:"at"`
	ConnectionLost bool          `json:"broken"` // its connection ended before it did
}

// FaultyVersionEntry is a version that is bad from a time on.
type FaultyVersionEntry struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	From    time.Duration `json:"from"`
}

// ReleaseEntry is a release plan as its operator saw it.
type ReleaseEntry struct {
	At                 time.Duration `json:"at"`
	Release            string        `json:"release"`
	State              string        `json:"state"`
	Reason             string        `json:"reason"`
	SetPoint           float64       `json:"setPoint"`
	MeasuredPercentage float64       `json:"measured"` // of the calls since the last look
}

// ChangeEntry is one setup change as its operator saw it.
type ChangeEntry struct {
	ID           string        `json:"id"`
	Invalid      bool          `json:"invalid"` // meant to be refused
	Sent         time.Duration `json:"sent"`
	Answered     time.Duration `json:"got"`
	Ruling       string        `json:"ruling"`
	Sequence     uint64        `json:"sequence"`
	Acknowledged bool          `json:"acknowledged"`
	InvalidItem  string        `json:"marker,omitempty"` // an item that only an invalid change names
}

// WorkerExitEntry is a worker's word that it is leaving or gone, or its death.
type WorkerExitEntry struct {
	Worker string        `json:"worker"`
	At     time.Duration `json:"at"`
}

// ConfigViewEntry is a setup as a node showed it to somebody.
type ConfigViewEntry struct {
	Node           string        `json:"node"`
	Requested      time.Duration `json:"asked"`
	Received       time.Duration `json:"got"`
	ConfigRevision uint64        `json:"setup"`
	Items          []string      `json:"items,omitempty"`
}

// FaultEntry is a fault that the rehearsal caused.
type FaultEntry struct {
	Name               string        `json:"what"`
	Target             string        `json:"on"`
	At                 time.Duration `json:"at"`
	End                time.Duration `json:"end,omitempty"`   // 0: when the next fault came
	MayReject          bool          `json:"costs,omitempty"` // it may turn callers away
	HitsCore           bool          `json:"core,omitempty"`  // it takes a core machine, which costs nothing alone
	DelaysPeerMessages bool          `json:"mute,omitempty"`  // it holds up what proxies tell each other
}

// History is all that was seen from outside the mesh.
type History struct {
	lock           sync.Mutex
	Calls          []CallEntry
	Executions     []ExecutionEntry
	ExecutionEnds  []ExecutionEndEntry
	Changes        []ChangeEntry
	WorkerExits    []WorkerExitEntry
	ConfigViews    []ConfigViewEntry
	Faults         []FaultEntry
	FaultyVersions []FaultyVersionEntry
	Releases       []ReleaseEntry
	// DrainingBound is how long after leaving a worker may still get calls: the rule's 2 s, or
	// more where the machine is not to be trusted with time.
	DrainingBound time.Duration
	Lease         time.Duration
	// DisconnectBound is how long a worker may go on with a repeatable call after its caller left; 0 for not judged.
	DisconnectBound time.Duration
	// Disconnects are the counts of each life of each proxy, as far as they could be asked for.
	Disconnects map[string]dispatch.DisconnectCounts
	// CheckRejections: callers turned away without cause are breaches, not only counted.
	CheckRejections bool
	// SurvivedChanges is how many acknowledged changes were there at the end; Lost are the others.
	SurvivedChanges     int
	LostChanges         []string
	MisdirectedRequests []string // requests that a worker refused because they were not meant for it
}

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
