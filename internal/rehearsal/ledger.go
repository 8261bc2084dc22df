package rehearsal

import (
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
)

// CallEntry is one request as its caller saw it.
type CallEntry struct {
	Op      string        `json:"op"`
	Caller  string        `json:"caller"`
	Proxy   string        `json:"proxy"`
	Service string        `json:"service"`
	Route   string        `json:"route"`
	Once    bool          `json:"once"`
	Keyed   bool          `json:"keyed,omitempty"` // under an idempotency key, which is its op
	Ask     int           `json:"ask,omitempty"`   // how often it had been asked for before, elsewhere
	Sent    time.Duration `json:"sent"`
	Got     time.Duration `json:"got"`
	Status  int           `json:"status"` // 0: no answer from the proxy
	Outcome string        `json:"outcome"`
	Defect  string        `json:"defect,omitempty"`
	Version string        `json:"version,omitempty"`
	Setup   uint64        `json:"setup,omitempty"`
	Tries   int           `json:"tries"`
	Echoed  string        `json:"echoed,omitempty"` // the op that the answer says it is for
	Worker  string        `json:"worker,omitempty"`
	Whole   bool          `json:"whole"` // the answer's own checksum holds
}

// RunEntry is one request as a worker ran it.
type RunEntry struct {
	Op      string        `json:"op"`
	Ask     int           `json:"ask,omitempty"`
	Caller  string        `json:"caller"` // as the proxy said
	Service string        `json:"service"`
	Version string        `json:"version"`
	Worker  string        `json:"worker"`
	At      time.Duration `json:"at"`
	Ill     bool          `json:"ill"` // it failed, or was far too slow
}

// EndEntry is the end of a run that was asked to take its time.
type EndEntry struct {
	Op     string        `json:"op"`
	Worker string        `json:"worker"`
	At     time.Duration `json:"at"`
	Broken bool          `json:"broken"` // its connection ended before it did
}

// BadEntry is a version that is bad from a time on.
type BadEntry struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	From    time.Duration `json:"from"`
}

// ShareEntry is a release plan as its operator saw it.
type ShareEntry struct {
	At       time.Duration `json:"at"`
	Release  string        `json:"release"`
	State    string        `json:"state"`
	Reason   string        `json:"reason"`
	SetPoint float64       `json:"setPoint"`
	Measured float64       `json:"measured"` // of the calls since the last look
}

// ChangeEntry is one setup change as its operator saw it.
type ChangeEntry struct {
	ID           string        `json:"id"`
	Invalid      bool          `json:"invalid"` // meant to be refused
	Sent         time.Duration `json:"sent"`
	Got          time.Duration `json:"got"`
	Ruling       string        `json:"ruling"`
	Sequence     uint64        `json:"sequence"`
	Acknowledged bool          `json:"acknowledged"`
	Marker       string        `json:"marker,omitempty"` // an item that only an invalid change names
}

// LeaveEntry is a worker's word that it is leaving or gone, or its death.
type LeaveEntry struct {
	Worker string        `json:"worker"`
	At     time.Duration `json:"at"`
}

// ShownEntry is a setup as a node showed it to somebody.
type ShownEntry struct {
	Node  string        `json:"node"`
	Asked time.Duration `json:"asked"`
	Got   time.Duration `json:"got"`
	Setup uint64        `json:"setup"`
	Items []string      `json:"items,omitempty"`
}

// FaultEntry is a fault that the rehearsal caused.
type FaultEntry struct {
	What  string        `json:"what"`
	On    string        `json:"on"`
	At    time.Duration `json:"at"`
	End   time.Duration `json:"end,omitempty"`   // 0: when the next fault came
	Costs bool          `json:"costs,omitempty"` // it may turn callers away
	Core  bool          `json:"core,omitempty"`  // it takes a core machine, which costs nothing alone
	Mute  bool          `json:"mute,omitempty"`  // it holds up what proxies tell each other
}

// Ledger is all that was seen from outside the mesh.
type Ledger struct {
	lock    sync.Mutex
	Calls   []CallEntry
	Runs    []RunEntry
	Ends    []EndEntry
	Changes []ChangeEntry
	Leaves  []LeaveEntry
	Shown   []ShownEntry
	Faults  []FaultEntry
	Bad     []BadEntry
	Shares  []ShareEntry
	// LeaveBound is how long after leaving a worker may still get calls: the rule's 2 s, or
	// more where the machine is not to be trusted with time.
	LeaveBound time.Duration
	Lease      time.Duration
	// DepartBound is how long a worker may go on with a repeatable call after its caller left; 0 for not judged.
	DepartBound time.Duration
	// Departures are the counts of each life of each proxy, as far as they could be asked for.
	Departures map[string]dispatch.DisconnectCounts
	// Timed: callers turned away without cause are breaches, not only counted.
	Timed bool
	// Survived is how many acknowledged changes were there at the end; Lost are the others.
	Survived int
	Lost     []string
	Strays   []string // requests that a worker refused because they were not meant for it
}

func note[T any](l *Ledger, list *[]T, entry T) {
	l.lock.Lock()
	defer l.lock.Unlock()
	*list = append(*list, entry)
}
