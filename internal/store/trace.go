package store

import (
	"context"
	"time"

	"meadowhinge/schema"
)

// maxStageTimes is how many sequences the tracer can still be told of.
const maxStageTimes = 4096

// recordStageTimes writes down when sequences were first appended, durable and committed here; the caller
// holds the lock.
func (s *Server) recordStageTimes() {
	reached := s.replica.Progress()
	if reached == s.progress {
		return
	}
	nanos := time.Now().UnixNano()
	for stage := range reached {
		// A snapshot can bring many sequences at once; only the last of them were ever asked about.
		from := max(s.progress[stage]+1, reached[stage]-min(reached[stage], maxStageTimes)+1)
		for sequence := from; sequence <= reached[stage]; sequence++ {
			if s.stageTimes[sequence] == nil {
				s.stageTimes[sequence] = &[3]int64{}
			}
			s.stageTimes[sequence][stage] = nanos
			delete(s.stageTimes, sequence-min(sequence, maxStageTimes))
		}
	}
	s.progress = reached
}

// Trace tells when a change was where in this store.
func (s *Server) Trace(_ context.Context, request *schema.ChangeQuery) (*schema.ReplicaTrace, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	trace := &schema.ReplicaTrace{Replica: s.initialOptions.Seat, Leader: s.replica.Status().Leader}
	trace.Outcome, trace.Known = s.replica.AppendedOutcome(request.ChangeId)
	if trace.Known {
		if times := s.stageTimes[trace.Outcome.Version.Sequence]; times != nil {
			trace.Appended, trace.Durable, trace.Committed = times[0], times[1], times[2]
		}
	}
	return trace, nil
}
