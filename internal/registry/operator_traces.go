package registry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/schema"
)

// ChangeTrace is when a change reached which stage, as one core member observed it. Times are of that member's clock; a zero time
// stands for not observed.
type ChangeTrace struct {
	MemberID         string               `json:"seat"`
	KnownToStore     bool                 `json:"known"` // to the store of this member
	Ruling           string               `json:"ruling,omitempty"`
	Sequence         uint64               `json:"sequence,omitempty"`
	Term             uint64               `json:"epoch,omitempty"`
	Leader           string               `json:"holder,omitempty"` // the member that led the stores
	Appended         time.Time            `json:"taken"`            // to the log of the store here
	Durable          time.Time            `json:"synced"`           // on the disk of the store here
	Committed        time.Time            `json:"stable"`           // as the store here learned
	Seen             time.Time            `json:"seen"`             // by the registry here
	Acknowledged     time.Time            `json:"acknowledged"`     // to the operator, by the registry here
	Applied          map[string]time.Time `json:"applied"`          // by proxy, as reported to the registry here
	Laggards         []string             `json:"missing"`          // proxies with a lease here that have not applied it
	StoreUnreachable bool                 `json:"storeSilent"`      // the store here did not answer; nothing else is known then
}

// handleTrace answers with what this core member observed of a change.
func (o *operatorServer) handleTrace(ctx context.Context, call *fasthttp.RequestCtx, id string) {
	bounded, cancel := context.WithTimeout(ctx, o.queryTimeout())
	defer cancel()
	response := ChangeTrace{MemberID: o.state.config.memberID, Applied: map[string]time.Time{}}
	storeTrace, err := o.store.Trace(bounded, &schema.ChangeQuery{ChangeId: id})
	if err != nil {
		response.StoreUnreachable = true
		daemon.WriteJSON(call, fasthttp.StatusOK, response)
		return
	}
	response.KnownToStore = storeTrace.Known
	response.Leader = storeTrace.Leader
	response.Appended = wallTime(storeTrace.Appended)
	response.Durable = wallTime(storeTrace.Durable)
	response.Committed = wallTime(storeTrace.Committed)
	if storeTrace.Known {
		response.Ruling = rulings[storeTrace.Outcome.Ruling].name
		response.Sequence = storeTrace.Outcome.Version.Sequence
		response.Term = storeTrace.Outcome.Version.Term
		o.addLocalTrace(&response)
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}

// addLocalTrace adds what this registry observed of the revision.
func (o *operatorServer) addLocalTrace(response *ChangeTrace) {
	s := o.state
	s.lock.Lock()
	defer s.lock.Unlock()
	if traced := s.fleetState.traces[response.Sequence]; traced != nil {
		response.Seen = s.wallTimeOf(traced.seenAt)
		response.Acknowledged = s.wallTimeOf(traced.acknowledgedAt)
		for proxy, at := range traced.appliedAt {
			response.Applied[proxy] = s.wallTimeOf(at)
		}
	}
	for _, lease := range s.fleetState.Leases(s.now()) {
		if lease.Applied < response.Sequence {
			response.Laggards = append(response.Laggards, lease.Proxy)
		}
	}
}

// wallTimeOf is the time of day of an instant since the start; zero stays zero.
func (s *sharedState) wallTimeOf(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return s.startedAt.Add(at)
}

// wallTime is the time of day of nanoseconds since 1970; zero stays zero.
func wallTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
