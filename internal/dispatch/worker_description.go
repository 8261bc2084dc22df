package dispatch

import (
	"fmt"
	"net/netip"
	"sort"
	"time"
)

// WorkerDescription is a worker's report about itself: its registration, each of its heartbeats, and its
// deregistration. The JSON keys are older than the fields' names.
type WorkerDescription struct {
	Address      string  `json:"address"` // IP:port where the worker accepts requests
	Service      string  `json:"service"`
	Version      string  `json:"version"`
	Zone         string  `json:"area,omitempty"` // empty for the zone of the worker's proxy
	Load         float64 `json:"load"`           // additional load, by which a worker without slots gets fewer calls
	Draining     bool    `json:"leaving"`        // the worker accepts no new requests
	Deregistered bool    `json:"gone"`           // the worker ends its registration
	Token        string  `json:"token"`          // sent with each request, so that the worker recognizes requests meant for it
	HeartbeatMS  int64   `json:"beatMs"`         // heartbeat interval in milliseconds

	// ID is chosen by the worker, another one for each of its incarnations; empty if the worker chooses none. It
	// identifies the registration at any proxy, however often the worker registers, and replaces the token.
	ID       string `json:"id,omitempty"`
	Serial   uint64 `json:"serial,omitempty"` // grows with every description, so that a late one is recognized
	Slots    uint32 `json:"slots,omitempty"`  // requests that the worker runs at once; 0 if not reported
	WarmupMS int64  `json:"warmMs,omitempty"` // remaining slow start in milliseconds
}

// token returns the token that requests to the worker carry: its ID or, if it has none, its Token.
func (d *WorkerDescription) token() string {
	if d.ID != "" {
		return d.ID
	}
	return d.Token
}

// Bounds on descriptions and on Workers.
const (
	maxNameBytes         = 64          // length of a service, a version or a zone
	maxTokenBytes        = 128         // length of a token or an id
	maxSlots             = 1 << 16     // requests that a worker may report to run at once
	maxHeartbeatInterval = time.Minute // longest interval between heartbeats
	deregisteredRetained = 1024        // ids of deregistered workers that Workers retains
	minBodyMemory        = 64 << 20    // least default of MaxBodyMemory, in bytes
)

// Validate returns an error text for each invalid field, sorted, and nil if the description is valid. A text begins
// with the field's JSON key.
func (d *WorkerDescription) Validate() []string {
	var faults []string
	if address, err := netip.ParseAddrPort(d.Address); err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		faults = append(faults, fmt.Sprintf("address: %q is not IP:port with a specific IP and port", d.Address))
	}
	for field, text := range map[string]string{"service": d.Service, "version": d.Version} {
		if text == "" || len(text) > maxNameBytes {
			faults = append(faults, fmt.Sprintf("%s: has %d bytes, must have 1 to %d", field, len(text), maxNameBytes))
		}
	}
	if len(d.Zone) > maxNameBytes {
		faults = append(faults, fmt.Sprintf("area: has %d bytes, must have at most %d", len(d.Zone), maxNameBytes))
	}
	if d.token() == "" || len(d.token()) > maxTokenBytes {
		faults = append(faults, fmt.Sprintf("token: token, or id if given, has %d bytes, must have 1 to %d", len(d.token()), maxTokenBytes))
	}
	if d.WarmupMS < 0 || d.Slots > maxSlots {
		faults = append(faults, fmt.Sprintf("slots, warmMs: are %d and %d, must be at least 0, and slots at most %d", d.Slots, d.WarmupMS, maxSlots))
	}
	if !(d.Load >= 0 && d.Load <= 1e6) {
		faults = append(faults, fmt.Sprintf("load: is %v, must be from 0 to 1000000", d.Load))
	}
	if heartbeat := time.Duration(d.HeartbeatMS) * time.Millisecond; heartbeat <= 0 || heartbeat > maxHeartbeatInterval {
		faults = append(faults, fmt.Sprintf("beatMs: is %d, must be above 0 and at most %d", d.HeartbeatMS, maxHeartbeatInterval.Milliseconds()))
	}
	sort.Strings(faults)
	return faults
}
