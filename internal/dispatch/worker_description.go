package dispatch

import (
	"fmt"
	"net/netip"
	"sort"
	"time"
)

// WorkerDescription is what a worker says of itself, every few seconds and when it leaves.
type WorkerDescription struct {
	Address      string  `json:"address"` // where it takes requests
	Service      string  `json:"service"`
	Version      string  `json:"version"`
	Zone         string  `json:"area,omitempty"`
	Load         float64 `json:"load"`
	Draining     bool    `json:"leaving"`
	Deregistered bool    `json:"gone"`
	Token        string  `json:"token"`  // handed back with each request, so that the worker knows it was meant
	HeartbeatMS  int64   `json:"beatMs"` // how often it describes itself

	// ID is the worker's own, another for each of its lives. With it the registration is the
	// same wherever and however often it is told, and it stands in place of the token.
	ID       string `json:"id,omitempty"`
	Serial   uint64 `json:"serial,omitempty"` // grows with every description; one that comes late changes nothing
	Slots    uint32 `json:"slots,omitempty"`  // requests it works on at once
	WarmupMS int64  `json:"warmMs,omitempty"` // how long it is still slow after its start
}

// token is what the worker knows a request by that is meant for it.
func (d *WorkerDescription) token() string {
	if d.ID != "" {
		return d.ID
	}
	return d.Token
}

// Bounds on a description.
const (
	maxNameBytes         = 64
	maxTokenBytes        = 128
	maxSlots             = 1 << 16
	maxHeartbeatInterval = time.Minute
	deregisteredRetained = 1024
	minBodyMemory        = 64 << 20
)

// Validate lists all that is wrong with a description.
func (d *WorkerDescription) Validate() []string {
	var faults []string
	if address, err := netip.ParseAddrPort(d.Address); err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		faults = append(faults, "address: is not IP:port")
	}
	for field, text := range map[string]string{"service": d.Service, "version": d.Version} {
		if text == "" || len(text) > maxNameBytes {
			faults = append(faults, fmt.Sprintf("%s: needs 1 to %d bytes", field, maxNameBytes))
		}
	}
	if len(d.Zone) > maxNameBytes {
		faults = append(faults, fmt.Sprintf("area: takes at most %d bytes", maxNameBytes))
	}
	if d.token() == "" || len(d.token()) > maxTokenBytes {
		faults = append(faults, fmt.Sprintf("token: needs 1 to %d bytes, or an id as long", maxTokenBytes))
	}
	if d.WarmupMS < 0 || d.Slots > maxSlots {
		faults = append(faults, fmt.Sprintf("slots, warmMs: must be from 0 up, slots to %d", maxSlots))
	}
	if !(d.Load >= 0 && d.Load <= 1e6) {
		faults = append(faults, "load: must be a number from 0 up")
	}
	if heartbeat := time.Duration(d.HeartbeatMS) * time.Millisecond; heartbeat <= 0 || heartbeat > maxHeartbeatInterval {
		faults = append(faults, "beatMs: must be above 0 and at most a minute")
	}
	sort.Strings(faults)
	return faults
}
