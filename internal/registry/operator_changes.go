package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// ChangeRequest is an operator's configuration change.
type ChangeRequest struct {
	ID               string            `json:"id"`       // chosen by the operator: the same id is the same change, accepted once
	Config           string            `json:"setup"`    // the items, as CUE text
	ExpectedVersions map[string]uint64 `json:"expected"` // "kind/name" to the version the change was made from; absent for new items
}

// ChangeResponse is the outcome of a change.
type ChangeResponse struct {
	ID              string               `json:"id"`
	Ruling          string               `json:"ruling"`             // accepted, invalid, conflict, stale or unknown
	Sequence        uint64               `json:"sequence,omitempty"` // the revision that the change made
	Term            uint64               `json:"epoch,omitempty"`    // of the leader that accepted it
	Acknowledged    bool                 `json:"acknowledged"`       // no proxy can use an older revision any more
	LaggingProxies  []string             `json:"waiting,omitempty"`  // that may still use an older revision, in no order
	CurrentVersions map[string]uint64    `json:"current,omitempty"`  // on a conflict: the versions, by "kind/name"
	CurrentItems    []ItemView           `json:"standing,omitempty"` // on a conflict: the items that exist, and whose change wrote them
	ErrorCode       errs.Code            `json:"defect,omitempty"`   // empty if accepted
	Faults          []*schema.FieldError `json:"faults,omitempty"`   // of an invalid change
}

// rulings is how each ruling of the store is shown to operators.
var rulings = map[schema.Ruling]struct {
	name   string
	status int // of HTTP
	code   errs.Code
}{
	schema.Ruling_RULING_ACCEPTED: {"accepted", fasthttp.StatusOK, ""},
	schema.Ruling_RULING_INVALID:  {"invalid", fasthttp.StatusBadRequest, errs.InvalidConfig},
	schema.Ruling_RULING_CONFLICT: {"conflict", fasthttp.StatusConflict, errs.Conflict},
	schema.Ruling_RULING_STALE:    {"stale", fasthttp.StatusConflict, errs.StaleTerm},
	schema.Ruling_RULING_UNKNOWN:  {"unknown", fasthttp.StatusServiceUnavailable, errs.NoQuorum},
}

// newChangeResponse shows an outcome, without acknowledgement, and gives its HTTP status.
func newChangeResponse(id string, outcome *schema.ChangeOutcome) (int, *ChangeResponse) {
	ruling := rulings[outcome.GetRuling()]
	response := &ChangeResponse{
		ID:        id,
		Ruling:    ruling.name,
		ErrorCode: ruling.code,
		Sequence:  outcome.GetVersion().GetSequence(),
		Term:      outcome.GetVersion().GetTerm(),
		Faults:    outcome.GetFaults(),
	}
	for _, expected := range outcome.GetCurrent() {
		if response.CurrentVersions == nil {
			response.CurrentVersions = map[string]uint64{}
		}
		response.CurrentVersions[config.Key(expected.Kind, expected.Name)] = expected.Sequence
	}
	return ruling.status, response
}

// handleChange proposes an operator's change, waits until it is acknowledged, and answers with its outcome.
func (o *operatorServer) handleChange(ctx context.Context, call *fasthttp.RequestCtx) {
	request, err := decodeChangeRequest(call.PostBody())
	if err != nil {
		daemon.WriteError(call, err, "", nil)
		return
	}
	items, faults := configsource.Parse([]byte(request.Config))
	if len(faults) > 0 {
		daemon.WriteJSON(call, fasthttp.StatusBadRequest,
			&ChangeResponse{ID: request.ID, Ruling: "invalid", ErrorCode: errs.InvalidConfig, Faults: faults})
		return
	}
	// One timeout for both waits: for the store's decision, and for the acknowledgement.
	bounded, cancel := context.WithTimeout(ctx, o.options.changeTimeout())
	defer cancel()
	reply := o.backend.propose(bounded, newChange(request, items))
	if reply == nil {
		// Unknown is not refused: the change may yet be committed, so the operator has to look up its id.
		daemon.WriteJSON(call, fasthttp.StatusServiceUnavailable,
			&ChangeResponse{ID: request.ID, Ruling: "unknown", ErrorCode: errs.NoQuorum})
		return
	}
	status, response := newChangeResponse(request.ID, reply.Outcome)
	switch reply.Outcome.Ruling {
	case schema.Ruling_RULING_CONFLICT:
		response.CurrentItems = o.currentItems(items)
	case schema.Ruling_RULING_ACCEPTED:
		o.awaitAcknowledgement(bounded, response)
		// The change is committed, but some proxy may not use it yet: that is less than a 200 promises.
		if !response.Acknowledged {
			status = fasthttp.StatusAccepted
		}
	}
	daemon.WriteJSON(call, status, response)
}

// decodeChangeRequest reads a change from a request's body. It fails with errs.MalformedRequest.
func decodeChangeRequest(body []byte) (*ChangeRequest, error) {
	request := &ChangeRequest{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return nil, errs.Wrap(err, errs.MalformedRequest, "change")
	}
	if request.ID == "" || len(request.ID) > maxChangeIDBytes {
		return nil, errs.New(errs.MalformedRequest, "a change needs an id of 1 to 128 bytes")
	}
	return request, nil
}

// newChange makes the change that an operator requests.
func newChange(request *ChangeRequest, items []*schema.Item) *schema.Change {
	change := &schema.Change{Id: request.ID, Items: items}
	for key, sequence := range request.ExpectedVersions {
		kind, name, _ := strings.Cut(key, "/")
		change.Expected = append(change.Expected, &schema.ExpectedVersion{Kind: kind, Name: name, Sequence: sequence})
	}
	return change
}

// currentItems shows those of the items that exist, as they are here.
func (o *operatorServer) currentItems(items []*schema.Item) []ItemView {
	o.state.lock.Lock()
	defer o.state.lock.Unlock()
	var views []ItemView
	for _, item := range items {
		current := o.state.configCache.state[config.Key(item.Kind, item.Name)]
		if current != nil && !current.Deleted {
			views = append(views, newItemView(current))
		}
	}
	return views
}

// awaitAcknowledgement puts into the response of an accepted change whether it is acknowledged before ctx ends.
func (o *operatorServer) awaitAcknowledgement(ctx context.Context, response *ChangeResponse) {
	response.LaggingProxies, response.Acknowledged = o.acknowledger.await(ctx, response.Sequence)
}

// handleOutcome answers with the outcome of an earlier change.
func (o *operatorServer) handleOutcome(ctx context.Context, call *fasthttp.RequestCtx, id string) {
	bounded, cancel := context.WithTimeout(ctx, o.queryTimeout())
	defer cancel()
	reply, err := o.store.Inquire(bounded, &schema.ChangeQuery{ChangeId: id})
	if err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.NoQuorum, "store"), "", nil)
		return
	}
	if reply.Undecided {
		daemon.WriteError(call, errs.New(errs.ChangeNotFound, id), "", nil)
		return
	}
	_, response := newChangeResponse(id, reply.Outcome)
	if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		o.awaitAcknowledgement(bounded, response)
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}
