package simulator

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// keyReserver returns the function by which a proxy reserves an idempotency key. The function requests the reservation
// from all registries and waits for a majority, the timeout of the attempt or the end of ctx.
func (w *World) keyReserver(node *proxyNode, processRun int, now func() time.Duration) dispatch.KeyReserver {
	return func(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
		if w.seededFault == SeededNoKeyReservation {
			return session.ReservationGranted, nil
		}
		if !w.awaitThaw(&node.process, processRun) {
			return session.ReservationNoMajority, nil
		}
		timeout := session.ReservationAttemptTimeout(leaseDuration)
		boundedCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		replies := make(chan session.ReservationResponse, memberCount)
		attempt := session.NewReservationAttempt(reservation, memberCount, now(), timeout)
		for _, registryNode := range w.registries {
			w.requestReservation(node, registryNode, reservation, replies)
		}
		verdict, owner := attempt.AwaitOutcome(boundedCtx, memberCount, replies, now)
		// A proxy that froze meanwhile continues when it thaws.
		if !w.awaitThaw(&node.process, processRun) {
			return session.ReservationNoMajority, nil
		}
		return verdict, owner
	}
}

// requestReservation requests a reservation from one registry. The reply is sent to replies, which must have room for
// it.
func (w *World) requestReservation(
	node *proxyNode, target *registryNode, reservation *schema.KeyReservation, replies chan<- session.ReservationResponse,
) {
	request := proto.Clone(reservation).(*schema.KeyReservation)
	random := w.derivedRandom(fmt.Sprint(reservation.Request, reservation.Instance, reservation.Release, target.name))
	w.sendWith(random, &node.process, &target.process, func() {
		response := target.reservations.Apply(w.uptime(target), request)
		w.send(&target.process, &node.process, func() {
			replies <- session.ReservationResponse{MemberID: target.name, Response: response}
		})
	})
}
