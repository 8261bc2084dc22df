package store

import (
	"context"
	"time"

	"meadowhinge/schema"
)

// maxStageTimes is the number of sequences, up to the last one of a stage, whose times are retained.
const maxStageTimes = 4096

// recordStageTimes records when sequences were first appended, durable and committed here. The caller holds the
// lock.
func (s *Server) recordStageTimes() {
	progress := s.replica.Progress()
	if progress == s.progress {
		return
	}
	now := time.Now().UnixNano()
	for stage := range progress {
		// A snapshot can bring many sequences at once; only the last ones are retained in any case.
		first := max(s.progress[stage]+1, progress[stage]-min(progress[stage], maxStageTimes)+1)
		for sequence := first; sequence <= progress[stage]; sequence++ {
			if s.stageTimes[sequence] == nil {
				s.stageTimes[sequence] = &[stageCount]int64{}
			}
			s.stageTimes[sequence][stage] = now
			delete(s.stageTimes, sequence-min(sequence, maxStageTimes))
		}
	}
	s.progress = progress
}

// Trace answers with the times, in Unix nanoseconds, at which a change reached each stage in this store; 0 for a
// stage that it has not reached or whose time is not retained. It returns no error.
func (s *Server) Trace(_ context.Context, request *schema.ChangeQuery) (*schema.ReplicaTrace, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	trace := &schema.ReplicaTrace{Replica: s.initialOptions.Seat, Leader: s.replica.Status().Leader}
	trace.Outcome, trace.Known = s.replica.AppendedOutcome(request.ChangeId)
	if !trace.Known {
		return trace, nil
	}
	if times := s.stageTimes[trace.Outcome.Version.Sequence]; times != nil {
		trace.Appended = times[stageAppended]
		trace.Durable = times[stageDurable]
		trace.Committed = times[stageCommitted]
	}
	return trace, nil
}
