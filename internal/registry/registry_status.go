package registry

import (
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// statusReporter reports this registry's status to status pages, peers and readiness probes. Its fields do not change
// after construction.
type statusReporter struct {
	state     *sharedState
	transport *transport.Transport
	rollouts  *rolloutDriver
}

func newStatusReporter(state *sharedState, rpcTransport *transport.Transport, rollouts *rolloutDriver) *statusReporter {
	return &statusReporter{state: state, transport: rpcTransport, rollouts: rollouts}
}

// current returns a consistent snapshot of the registry's status.
func (r *statusReporter) current() *schema.RegistryStatus {
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.now()
	staleness, confirmed := s.fleetState.Staleness(now)
	return &schema.RegistryStatus{
		Member:                    s.config.memberID,
		GrantsLeases:              s.fleetState.GrantsLeases(now),
		MayControlRollouts:        r.rollouts.mayControlLocked(),
		Committed:                 s.fleetState.committedRevision,
		Leases:                    s.fleetState.Leases(now),
		Sessions:                  uint32(s.fleetState.SessionCount()),
		FleetSize:                 uint32(s.fleetState.LiveProxies(now)),
		StalenessKnown:            confirmed,
		StalenessNanos:            int64(staleness),
		Reachable:                 s.fleetState.ReachableRegistries(now),
		StaleSteps:                r.rollouts.staleSteps.Load(),
		RefusedPeers:              r.transport.RejectedPeers.Load(),
		KeyReservations:           uint64(s.reservations.Len()),
		ReservationsAuthoritative: s.reservations.IsAuthoritative(now),
		RefusedReservations:       s.reservations.Refused,
		ConflictingSettings:       s.fleetState.SettingMismatches(),
	}
}

// readiness returns the state of the readiness probe: the registry is ready once it grants leases.
func (r *statusReporter) readiness() daemon.Readiness {
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.fleetState.GrantsLeases(s.now()) {
		return daemon.Readiness{Reason: reasonRegistryYoung}
	}
	return daemon.Readiness{Ready: true}
}
