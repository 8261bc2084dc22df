package registry

import (
	"context"
	"time"

	"meadowhinge/schema"
)

// reservationRecovery reads the other registries' reservations of idempotency keys after a start. Its fields do not
// change after construction.
type reservationRecovery struct {
	state *sharedState
	peers *peerClients
}

func newReservationRecovery(state *sharedState, peers *peerClients) *reservationRecovery {
	return &reservationRecovery{state: state, peers: peers}
}

// run reads the other registries' reservations until this registry's table is authoritative or ctx ends.
func (r *reservationRecovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		authoritative, untilStart := r.progress()
		if authoritative {
			return
		}
		if untilStart > 0 {
			wait(ctx, untilStart)
			continue
		}
		callOtherRegistries(ctx, r.peers, r.state.config.lease, r.readAll)
		r.state.waitLeaseFraction(ctx, retryIntervalDivisor)
	}
}

// progress reports whether this registry's table is authoritative, and returns the time until the other registries
// may be read; it is zero or negative once they may.
func (r *reservationRecovery) progress() (authoritative bool, untilStart time.Duration) {
	r.state.lock.Lock()
	defer r.state.lock.Unlock()
	now := r.state.now()
	return r.state.reservations.IsAuthoritative(now), r.state.reservations.RecoveryStartsAt() - now
}

// readAll reads and merges all reservations of one registry, page by page. It returns true, or the error of a failed
// RPC.
func (r *reservationRecovery) readAll(ctx context.Context, peer schema.DRPCRegistryClient) (bool, error) {
	for after := uint64(0); ; {
		page, err := peer.Read(ctx, &schema.ReservationsRequest{After: after})
		if err != nil {
			return false, err
		}
		r.state.lock.Lock()
		r.state.reservations.MergePage(r.state.now(), page.Member, page)
		r.state.lock.Unlock()
		if page.Last {
			return true, nil
		}
		after = page.Reservations[len(page.Reservations)-1].Position // only the last page can be empty: see Page
	}
}
