package dispatch

import (
	"fmt"
	"net/netip"
	"sort"
	"time"
)

// WorkerDescription is what a worker reports of itself, with every heartbeat and when it deregisters.
type WorkerDescription struct {
	Address      string  `json:"address"` // IP:port where the worker takes requests
	Service      string  `json:"service"`
	Version      string  `json:"version"`
	Zone         string  `json:"area,omitempty"` // empty for the zone of its proxy
	Load         float64 `json:"load"`           // additional load, by which a worker without slots gets fewer calls
	Draining     bool    `json:"leaving"`        // the worker takes no new requests
	Deregistered bool    `json:"gone"`
	Token        string  `json:"token"`  // passed back with each request, so that the worker knows that it is meant
	HeartbeatMS  int64   `json:"beatMs"` // heartbeat interval

	// ID is the worker's own, another one for each of its incarnations. It makes the registration the same at
	// whichever proxy and however often the worker registers, and takes the place of the token.
	ID       string `json:"id,omitempty"`
	Serial   uint64 `json:"serial,omitempty"` // grows with every description, so that a late one is recognized
	Slots    uint32 `json:"slots,omitempty"`  // requests that the worker runs at once, 0 for not reported
	WarmupMS int64  `json:"warmMs,omitempty"` // remaining slow start
}

// token returns what a request to the worker carries, by which the worker knows that it is meant.
func (d *WorkerDescription) token() string {
	if d.ID != "" {
		return d.ID
	}
	return d.Token
}

// Bounds on descriptions, and on what is retained of them.
const (
	maxNameBytes         = 64
	maxTokenBytes        = 128
	maxSlots             = 1 << 16
	maxHeartbeatInterval = time.Minute
	deregisteredRetained = 1024     // ids of workers that have deregistered
	minBodyMemory        = 64 << 20 // bytes
)

// Validate returns all that is wrong with a description, sorted; nil if it is valid.
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
