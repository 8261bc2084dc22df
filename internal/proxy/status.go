package proxy

import (
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/statuspage"
)

// registerPages adds this proxy's pages to the probe listener.
func (s *Server) registerPages(environment *daemon.Environment) {
	environment.AddPage("/status", func() any { return s.status() })
	environment.AddPage("/certificate", s.transport.Certificate)
	environment.AddPage("/traffic", func() any { return s.transport.Traffic() })
	environment.AddPage("/events", func() any { return s.events() })
	for _, path := range s.extensions.readinessPaths {
		environment.AddReadinessPath(path)
	}
}

// readiness reports whether this proxy may decide calls.
func (s *Server) readiness() daemon.Readiness {
	if !s.servingGate.IsOpen() {
		return daemon.Readiness{Reason: string(errs.NoLease)}
	}
	return daemon.Readiness{Ready: true}
}

// Status is the page /status. The JSON keys are older than the names of the fields and stay.
type Status struct {
	Name              string               `json:"name"`
	ConfigRevision    uint64               `json:"setup"`
	HasLease          bool                 `json:"leased"`             // whether it may decide calls
	LeaseMS           int64                `json:"leaseMs"`            // until the lease ends; negative since it has ended
	FleetSize         int64                `json:"members"`            // proxies that share limits of the whole mesh
	Registry          string               `json:"registry,omitempty"` // address of the registry of its session; empty under a lease
	StalenessKnown    bool                 `json:"vouched"`            // whether StalenessMS is known
	StalenessMS       int64                `json:"ageMs"`              // since its configuration was last known to be the newest
	Sources           int                  `json:"sources"`            // proxies in the directory, this one included
	KnownWorkers      int                  `json:"knownWorkers"`       // in the whole mesh
	Workers           []*statuspage.Worker `json:"workers"`            // beside this proxy
	RejectedPeers     uint64               `json:"refusedPeers"`       // peers rejected for a wrong certificate, protocol or garbage
	CallsInFlight     int                  `json:"callsInFlight"`
	PeerCallsInFlight int                  `json:"hopsInFlight"`

	Disconnects dispatch.DisconnectCounts `json:"departures"` // callers that disconnected during their calls
}

// status is the current content of the page /status.
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

// EventSummary is one event on the page /events.
type EventSummary struct {
	At             string   `json:"at"` // time since the proxy started, as time.Duration prints it
	ConfigRevision uint64   `json:"setup,omitempty"`
	Items          int      `json:"items,omitempty"`   // how many configuration items the event carried
	Sources        []string `json:"sources,omitempty"` // names of the proxies it told of
}

// events summarizes the last events that the mesh state was folded from, the oldest first.
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
