package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// ChangeRequest is an operator's configuration change, the body of POST /v1/changes.
type ChangeRequest struct {
	// ID is chosen by the operator, of 1 to maxChangeIDBytes bytes. The same id means the same change, which is decided
	// only once as long as the stores keep its outcome.
	ID     string `json:"id"`
	Config string `json:"setup"` // changed items as CUE text
	// ExpectedVersions is the version of each item on which the change is based, by "kind/name". New items have no
	// entry.
	ExpectedVersions map[string]uint64 `json:"expected"`
}

// ChangeResponse is the outcome of a change.
type ChangeResponse struct {
	ID             string   `json:"id"`
	Ruling         string   `json:"ruling"`             // accepted, invalid, conflict, stale or unknown
	Revision       uint64   `json:"sequence,omitempty"` // revision of the decision, also of a refusal; zero if undecided
	Term           uint64   `json:"epoch,omitempty"`    // term of the store leader that decided on the change
	Acknowledged   bool     `json:"acknowledged"`       // whether no proxy can use an older revision
	LaggingProxies []string `json:"waiting,omitempty"`  // proxies that may still use an older revision, in no order
	// CurrentVersions has the current versions of the items, by "kind/name". It is set on a conflict only.
	CurrentVersions map[string]uint64 `json:"current,omitempty"`
	// CurrentItems has the changed items that exist, as they are committed, each with the id of the change that wrote it.
	// It is set on a conflict only.
	CurrentItems []ItemView           `json:"standing,omitempty"`
	ErrorCode    errs.Code            `json:"defect,omitempty"` // empty if accepted
	Faults       []*schema.FieldError `json:"faults,omitempty"` // faults in the items of an invalid change
}

// rulings maps each ruling of the store to its name, HTTP status and error code in the operator API.
var rulings = map[schema.Ruling]struct {
	name   string
	status int       // HTTP status
	code   errs.Code // empty for an accepted change
}{
	schema.Ruling_RULING_ACCEPTED: {"accepted", fasthttp.StatusOK, ""},
	schema.Ruling_RULING_INVALID:  {"invalid", fasthttp.StatusBadRequest, errs.InvalidConfig},
	schema.Ruling_RULING_CONFLICT: {"conflict", fasthttp.StatusConflict, errs.Conflict},
	schema.Ruling_RULING_STALE:    {"stale", fasthttp.StatusConflict, errs.StaleTerm},
	schema.Ruling_RULING_UNKNOWN:  {"unknown", fasthttp.StatusServiceUnavailable, errs.NoQuorum},
}

// newChangeResponse returns the HTTP status and the response for an outcome. The response's acknowledgement is not set.
func newChangeResponse(id string, outcome *schema.ChangeOutcome) (int, *ChangeResponse) {
	ruling := rulings[outcome.GetRuling()]
	response := &ChangeResponse{
		ID:        id,
		Ruling:    ruling.name,
		ErrorCode: ruling.code,
		Revision:  outcome.GetVersion().GetSequence(),
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

// handleChange proposes an operator's change, waits for its acknowledgement and responds with its outcome. The status
// of an accepted change is 200 if it is acknowledged before the change timeout, otherwise 202.
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
	// One timeout covers both the store's decision and the acknowledgement.
	timeoutCtx, cancel := context.WithTimeout(ctx, o.options.changeTimeout())
	defer cancel()
	reply := o.backend.propose(timeoutCtx, newChange(request, items))
	if reply == nil {
		// Unknown does not mean refused: the change may still be committed, so the operator has to query its id.
		daemon.WriteJSON(call, fasthttp.StatusServiceUnavailable,
			&ChangeResponse{ID: request.ID, Ruling: "unknown", ErrorCode: errs.NoQuorum})
		return
	}
	status, response := newChangeResponse(request.ID, reply.Outcome)
	switch reply.Outcome.Ruling {
	case schema.Ruling_RULING_CONFLICT:
		response.CurrentItems = o.currentItems(items)
	case schema.Ruling_RULING_ACCEPTED:
		o.awaitAcknowledgement(timeoutCtx, response)
		// The change is committed, but some proxies may not use it yet. A 200 would promise that all do.
		if !response.Acknowledged {
			status = fasthttp.StatusAccepted
		}
	}
	daemon.WriteJSON(call, status, response)
}

// decodeChangeRequest decodes a change from a request body. It fails with errs.MalformedRequest if the body is not a
// ChangeRequest in JSON, has unknown fields, or has an id that is empty or too long.
func decodeChangeRequest(body []byte) (*ChangeRequest, error) {
	request := &ChangeRequest{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return nil, errs.Wrap(err, errs.MalformedRequest, "decoding the change request")
	}
	if request.ID == "" || len(request.ID) > maxChangeIDBytes {
		return nil, errs.New(errs.MalformedRequest,
			fmt.Sprintf("change id has %d bytes, want 1 to %d", len(request.ID), maxChangeIDBytes))
	}
	return request, nil
}

// newChange returns the change to propose to the store for an operator's request.
func newChange(request *ChangeRequest, items []*schema.Item) *schema.Change {
	change := &schema.Change{Id: request.ID, Items: items}
	for key, sequence := range request.ExpectedVersions {
		kind, name, _ := strings.Cut(key, "/")
		change.Expected = append(change.Expected, &schema.ExpectedVersion{Kind: kind, Name: name, Sequence: sequence})
	}
	return change
}

// currentItems returns the committed counterparts of items, by kind and name. It leaves out items that do not exist or
// are deleted.
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

// awaitAcknowledgement waits until an accepted change is acknowledged or ctx ends, and sets the acknowledgement and the
// lagging proxies in its response.
func (o *operatorServer) awaitAcknowledgement(ctx context.Context, response *ChangeResponse) {
	response.LaggingProxies, response.Acknowledged = o.acknowledger.await(ctx, response.Revision)
}

// handleOutcome responds with the outcome of an earlier change, with status 200 whatever the ruling was. It responds
// with errs.ChangeNotFound if the local store knows of no committed outcome of the change's id. It responds with
// errs.NoQuorum if that store does not reply.
func (o *operatorServer) handleOutcome(ctx context.Context, call *fasthttp.RequestCtx, id string) {
	timeoutCtx, cancel := context.WithTimeout(ctx, o.queryTimeout())
	defer cancel()
	reply, err := o.store.Inquire(timeoutCtx, &schema.ChangeQuery{ChangeId: id})
	if err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.NoQuorum, "querying the store for change "+id), "", nil)
		return
	}
	if reply.Undecided {
		daemon.WriteError(call, errs.New(errs.ChangeNotFound, id), "", nil)
		return
	}
	_, response := newChangeResponse(id, reply.Outcome)
	if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		o.awaitAcknowledgement(timeoutCtx, response)
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}
