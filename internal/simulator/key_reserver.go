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

// keyReserver takes a key to the registries.
func (w *World) keyReserver(node *proxyNode, processRun int, now func() time.Duration) dispatch.KeyReserver {
	return func(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
		if w.seededFault == SeededNoKeyReservation {
			return session.ReservationGranted, nil
		}
		if !w.awaitThaw(&node.process, processRun) {
			return session.ReservationNoMajority, nil
		}
		timeout := session.ReservationRoundTimeout(leaseDuration)
		boundedCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		replies := make(chan session.ReservationAnswer, memberCount)
		reservationRound := session.NewReservationRound(reservation, memberCount, now(), timeout)
		for _, registryNode := range w.registries {
			request := proto.Clone(reservation).(*schema.KeyReservation)
			w.sendWith(w.derivedRandom(fmt.Sprint(reservation.Request, reservation.Instance, reservation.Release,
				registryNode.name)), &node.process, &registryNode.process, func() {
				reply := registryNode.reservations.Apply(w.uptime(registryNode), request)
				w.send(&registryNode.process, &node.process, func() {
					replies <- session.ReservationAnswer{
						MemberID: registryNode.name,
						Response: reply,
					}
				})
			})
		}
		verdict, holder := reservationRound.AwaitOutcome(boundedCtx, memberCount, replies, now)
		// A proxy that was frozen meanwhile goes on when it thaws.
		if !w.awaitThaw(&node.process, processRun) {
			return session.ReservationNoMajority, nil
		}
		return verdict, holder
	}
}
