package registry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/schema"
)

// ChangeTrace records when a change reached each stage, as one core member observed it. Times are of that member's
// clock; a zero time means not observed. "Local" means of this core member.
type ChangeTrace struct {
	MemberID         string               `json:"seat"`               // id of the observing core member
	KnownToStore     bool                 `json:"known"`              // whether the local store knows the change
	Ruling           string               `json:"ruling,omitempty"`   // as in ChangeResponse; may not be committed yet
	Revision         uint64               `json:"sequence,omitempty"` // revision of the decision, also of a refusal
	Term             uint64               `json:"epoch,omitempty"`    // term of the store leader that decided on the change
	Leader           string               `json:"holder,omitempty"`   // member id of the current store leader
	Appended         time.Time            `json:"taken"`              // when the local store appended the change to its log
	Durable          time.Time            `json:"synced"`             // when the change was synced to the local store's disk
	Committed        time.Time            `json:"stable"`             // when the local store learned of the commit
	Seen             time.Time            `json:"seen"`               // when the local registry received the revision
	Acknowledged     time.Time            `json:"acknowledged"`       // when the local registry found it acknowledged
	Applied          map[string]time.Time `json:"applied"`            // when the local registry learned it was applied, by proxy
	Laggards         []string             `json:"missing"`            // proxies with a local lease that have not applied it
	StoreUnreachable bool                 `json:"storeSilent"`        // the local store did not reply; only MemberID is set
}

// handleTrace responds with this core member's trace of a change. If the local store does not reply, the response is
// still 200, with StoreUnreachable set.
func (o *operatorServer) handleTrace(ctx context.Context, call *fasthttp.RequestCtx, id string) {
	timeoutCtx, cancel := context.WithTimeout(ctx, o.queryTimeout())
	defer cancel()
	response := ChangeTrace{MemberID: o.state.config.memberID, Applied: map[string]time.Time{}}
	storeTrace, err := o.store.Trace(timeoutCtx, &schema.ChangeQuery{ChangeId: id})
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
		response.Revision = storeTrace.Outcome.Version.Sequence
		response.Term = storeTrace.Outcome.Version.Term
		o.addLocalTrace(&response)
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}

// addLocalTrace adds this registry's observations of the change's revision.
func (o *operatorServer) addLocalTrace(response *ChangeTrace) {
	s := o.state
	s.lock.Lock()
	defer s.lock.Unlock()
	if traced := s.fleetState.traces[response.Revision]; traced != nil {
		response.Seen = s.wallTimeOf(traced.seenAt)
		response.Acknowledged = s.wallTimeOf(traced.acknowledgedAt)
		for proxy, at := range traced.appliedAt {
			response.Applied[proxy] = s.wallTimeOf(at)
		}
	}
	for _, lease := range s.fleetState.Leases(s.now()) {
		if lease.Applied < response.Revision {
			response.Laggards = append(response.Laggards, lease.Proxy)
		}
	}
}

// wallTimeOf converts a time since the start of the registry to wall-clock time. Zero gives the zero time.
func (s *sharedState) wallTimeOf(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return s.startedAt.Add(at)
}

// wallTime converts Unix nanoseconds to wall-clock time. Zero gives the zero time.
func wallTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
