package store

import (
	"context"
	"time"

	"meadowhinge/schema"
)

// maxStageTimes is the number of most recent sequences whose stage times are retained.
const maxStageTimes = 4096

// recordStageTimes records when each sequence reached the stages appended, durable and committed here. The caller
// holds s.lock.
func (s *Server) recordStageTimes() {
	progress := s.replica.Progress()
	if progress == s.progress {
		return
	}
	now := time.Now().UnixNano()
	for stage := range progress {
		// A snapshot can add many sequences at once, of which only the last maxStageTimes would be retained anyway.
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

// Trace returns the times, in Unix nanoseconds, at which a change reached each stage in this store. A time is 0 if the
// change has not reached the stage or the time is no longer retained. The error is always nil.
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
