package proxy

import (
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/statuspage"
)

// registerPages adds the pages of this proxy to the probe listener.
func (s *Server) registerPages(environment *daemon.Environment) {
	environment.AddPage("/status", func() any { return s.status() })
	environment.AddPage("/certificate", s.transport.Certificate)
	environment.AddPage("/traffic", func() any { return s.transport.Traffic() })
	environment.AddPage("/events", func() any { return s.events() })
	for _, path := range s.extensions.readinessPaths {
		environment.AddReadinessPath(path)
	}
}

// readiness reports whether this proxy may serve calls, for the readiness probe.
func (s *Server) readiness() daemon.Readiness {
	if !s.servingGate.IsOpen() {
		return daemon.Readiness{Reason: string(errs.NoLease)}
	}
	return daemon.Readiness{Ready: true}
}

// Status is the content of the page /status. The JSON keys are a stable interface for operators, so they differ from the
// names of the fields. Durations are in milliseconds.
type Status struct {
	Name           string `json:"name"`               // name of the proxy
	ConfigRevision uint64 `json:"setup"`              // revision of the configuration in use; 0 for none
	HasLease       bool   `json:"leased"`             // whether the proxy may serve calls
	LeaseMS        int64  `json:"leaseMs"`            // time until the lease expires; negative without one
	FleetSize      int64  `json:"members"`            // estimated number of proxies, which share mesh-wide limits
	Registry       string `json:"registry,omitempty"` // registry of the current session; empty under a lease
	StalenessKnown bool   `json:"vouched"`            // whether StalenessMS is known
	// StalenessMS is the time since the configuration was last known to be the newest.
	StalenessMS  int64                `json:"ageMs"`
	Sources      int                  `json:"sources"`      // proxies in the directory, including this one
	KnownWorkers int                  `json:"knownWorkers"` // number of workers in the directory
	Workers      []*statuspage.Worker `json:"workers"`      // local workers
	// RejectedPeers counts peers rejected for a wrong certificate, a wrong protocol or malformed data.
	RejectedPeers     uint64 `json:"refusedPeers"`
	CallsInFlight     int    `json:"callsInFlight"` // calls of local callers in flight
	PeerCallsInFlight int    `json:"hopsInFlight"`  // calls forwarded by other proxies in flight

	Disconnects dispatch.DisconnectCounts `json:"departures"` // counts of callers that disconnected during their calls
}

// status returns the current content of the page /status.
func (s *Server) status() Status {
	state := s.journal.View()
	knownWorkers := 0
	for _, byVersion := range state.view.Directory {
		for _, pool := range byVersion {
			knownWorkers += len(pool)
		}
	}
	registry, staleness, stalenessKnown := s.sessionState()
	return Status{
		Name:              s.initialOptions.Name,
		ConfigRevision:    state.config.Revision,
		HasLease:          s.servingGate.IsOpen(),
		LeaseMS:           (s.leaseGate.ExpiresAt() - s.now()).Milliseconds(),
		FleetSize:         s.fleetSize.Load(),
		Registry:          registry,
		StalenessKnown:    stalenessKnown,
		StalenessMS:       staleness.Milliseconds(),
		Sources:           len(state.sources),
		KnownWorkers:      knownWorkers,
		Workers:           statuspage.WorkersOf(s.workers.List()),
		RejectedPeers:     s.transport.RejectedPeers.Load(),
		CallsInFlight:     int(s.callsInFlight.Load()),
		PeerCallsInFlight: int(s.peerCallsInFlight.Load()),
		Disconnects:       s.disconnects.Counts(),
	}
}

// EventSummary is one journal event on the page /events.
type EventSummary struct {
	At             string   `json:"at"`                // time since the start of the proxy, as time.Duration prints it
	ConfigRevision uint64   `json:"setup,omitempty"`   // revision of the configuration; 0 for an event without one
	Items          int      `json:"items,omitempty"`   // number of configuration items in the event
	Sources        []string `json:"sources,omitempty"` // names of the proxies whose sources the event carried
}

// events returns summaries of the most recent journal events, oldest first.
func (s *Server) events() []EventSummary {
	summaries := []EventSummary{}
	for _, event := range s.journal.Recent() {
		summary := EventSummary{At: event.At.String(), ConfigRevision: event.ConfigRevision, Items: len(event.Items)}
		for _, source := range event.Sources {
			summary.Sources = append(summary.Sources, source.Name)
		}
		summaries = append(summaries, summary)
	}
	return summaries
}
