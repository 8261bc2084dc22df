package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// establishIncarnation chooses an incarnation above every one that a registry has seen of this proxy's name. It tries
// until the first registry answers or ctx ends; a higher one that is seen later is handled by checkSuperseded.
//
// The loops that read processIncarnation and the forwarder's incarnation start only after it, or, as calls do, pass
// the serving gate first, which opens by what those loops receive.
func (s *Server) establishIncarnation(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := s.registryAddresses()
		replies := make(chan *schema.IncarnationReply, len(addresses))
		bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
		for _, address := range addresses {
			go func() { replies <- s.requestIncarnation(bounded, address) }()
		}
		for range addresses {
			if reply := <-replies; reply != nil {
				s.adoptIncarnation(reply)
				// Cancelling a call that is under way would close its connection; the timeout ends it soon.
				time.AfterFunc(s.leaseDuration/renewalsPerLease, cancel)
				return
			}
		}
		cancel()
		s.sleepLeaseFraction(ctx, retryBackoffDivisor)
	}
}

// requestIncarnation requests from one registry what it has seen of this proxy's name; nil if it does not answer.
func (s *Server) requestIncarnation(ctx context.Context, address string) *schema.IncarnationReply {
	reply, err := s.registryClient(ctx, address).Greet(ctx, &schema.IncarnationRequest{Proxy: s.initialOptions.Name})
	if err != nil {
		return nil // another registry may answer, and the next round asks this one again
	}
	return reply
}

// adoptIncarnation sets this process's incarnation above the one that a registry has seen, and restores the worker
// that the registry still lists.
func (s *Server) adoptIncarnation(reply *schema.IncarnationReply) {
	s.lock.Lock()
	s.processIncarnation = session.NextIncarnation(reply.Incarnation)
	s.sourceIncarnation = s.processIncarnation
	s.forwarder.Incarnation = s.processIncarnation
	s.lock.Unlock()
	s.restoreWorker(reply.Workers)
}

// restoreWorker registers the worker beside this proxy that an earlier process of this name reported, so that calls
// reach it before its next heartbeat. It needs workers with IDs of their own and the option that says where the
// worker is.
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

// checkSuperseded looks for this proxy itself among received sources. If it is listed under a higher incarnation, or
// its own is listed as ended, it publishes its workers again under an incarnation above the listed one.
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
