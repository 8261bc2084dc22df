package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// establishIncarnation chooses an incarnation above the one that a registry has recorded for this proxy's name. It
// retries until the first registry answers or ctx ends. If a higher incarnation shows up later, checkSuperseded handles
// it.
//
// The write of processIncarnation and of the forwarder's incarnation does not race with their readers. The loops that
// read them start after this function returns. Calls pass the serving gate first, which opens only on data that these
// loops receive.
func (s *Server) establishIncarnation(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := s.registryAddresses()
		replies := make(chan *schema.IncarnationReply, len(addresses))
		requestCtx, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
		for _, address := range addresses {
			go func() { replies <- s.requestIncarnation(requestCtx, address) }()
		}
		for range addresses {
			if reply := <-replies; reply != nil {
				s.adoptIncarnation(reply)
				// Cancelling the remaining requests now would close their connections; they end by the timeout.
				time.AfterFunc(s.leaseDuration/renewalsPerLease, cancel)
				return
			}
		}
		cancel()
		s.sleepLeaseFraction(ctx, retryBackoffDivisor)
	}
}

// requestIncarnation asks one registry for the incarnation and the workers recorded under this proxy's name. It returns
// nil if the request fails.
func (s *Server) requestIncarnation(ctx context.Context, address string) *schema.IncarnationReply {
	reply, err := s.registryClient(ctx, address).Greet(ctx, &schema.IncarnationRequest{Proxy: s.initialOptions.Name})
	if err != nil {
		return nil // another registry may answer, and the next round retries this one
	}
	return reply
}

// adoptIncarnation sets the incarnation of this process above the one in reply, and restores the worker that the
// registry still lists.
func (s *Server) adoptIncarnation(reply *schema.IncarnationReply) {
	s.lock.Lock()
	s.processIncarnation = session.NextIncarnation(reply.Incarnation)
	s.sourceIncarnation = s.processIncarnation
	s.forwarder.Incarnation = s.processIncarnation
	s.lock.Unlock()
	s.restoreWorker(reply.Workers)
}

// restoreWorker registers the local worker that an earlier process of this proxy reported, so that calls reach the
// worker before its next heartbeat. It does so only for exactly one reported worker, with worker IDs enabled
// ([WithWorkerIDs]) and the address of the worker set by the option "beside".
func (s *Server) restoreWorker(reported []*schema.Worker) {
	if s.initialOptions.Beside == "" || s.extensions.workerIDHeartbeat == 0 || len(reported) != 1 {
		return
	}
	worker := reported[0]
	s.workers.Restore(dispatch.WorkerDescription{
		ID:          worker.Instance,
		Address:     s.initialOptions.Beside,
		Service:     worker.Service,
		Version:     worker.Version,
		Zone:        worker.Zone,
		Slots:       worker.Slots,
		WarmupMS:    time.Duration(worker.WarmupLeftNanos).Milliseconds(),
		HeartbeatMS: s.extensions.workerIDHeartbeat.Milliseconds(),
	})
}

// checkSuperseded looks for this proxy among received sources. If the proxy is listed under a higher incarnation, or
// its own incarnation is listed as ended, the function republishes the local workers under an incarnation above the
// listed one.
func (s *Server) checkSuperseded(sources []*schema.Source) {
	for _, source := range sources {
		if source.Name != s.initialOptions.Name {
			continue
		}
		s.lock.Lock()
		listedIncarnation := source.Version.GetIncarnation()
		superseded := session.IsSuperseded(s.sourceIncarnation, listedIncarnation, source.Version.GetEnded())
		if superseded {
			s.sourceIncarnation = session.NextIncarnation(listedIncarnation)
		}
		s.lock.Unlock()
		if superseded {
			s.log.V(1).Info("another incarnation of this proxy is listed; publishing under a higher one", "incarnation", listedIncarnation)
			s.publishWorkers()
		}
	}
}
