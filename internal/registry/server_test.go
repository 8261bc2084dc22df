package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// testAPI is an additional operator API with two paths, which call the backend.
type testAPI struct {
	items chan []*schema.Item // results of ReadItems
}

func (a *testAPI) Handle(call *fasthttp.RequestCtx, backend OperatorBackend) bool {
	switch string(call.Path()) {
	case "/additional/items":
		items, known := backend.ReadItems(call)
		if !known {
			call.SetStatusCode(http.StatusServiceUnavailable)
			return true
		}
		a.items <- items
	case "/additional/rollout":
		outcome := backend.StartRollout(call, "shop", "2.0.0", time.Minute)
		state, version, known := backend.RolloutStatus(call, "shop")
		call.SetBodyString(fmt.Sprint(outcome.GetRuling(), " ", state, " ", version, " ", known))
	default:
		return false
	}
	return true
}

// TestChangeReachesProxy checks the path of a configuration change that doc.go describes, with a real store: a change
// that an operator submits is committed, pushed to a proxy in session, and acknowledged once the proxy has applied it.
// The operators' API must show each of these steps.
func TestChangeReachesProxy(t *testing.T) {
	api := &testAPI{items: make(chan []*schema.Item, 1)}
	core := startTestCore(t, 1, false, WithOperatorAPI(api))
	if status, response := core.request(t, 0, "GET", "/v1/setup", "", isDecided); status != http.StatusOK {
		t.Fatalf("GET /v1/setup before any change: got status %d, want 200: %s", status, response)
	}
	proxy := startTestProxy(t, core, 0)
	status, response := core.request(t, 0, "POST", "/v1/changes",
		`{"id": "first", "setup": "segment: testers: {salt: \"t\", included: [\"ann\"]}"}`, isDecided)
	var outcome ChangeResponse
	if err := json.Unmarshal([]byte(response), &outcome); err != nil {
		t.Fatalf("POST /v1/changes: decoding the response %q: %v", response, err)
	}
	if status != http.StatusOK || outcome.Ruling != "accepted" || !outcome.Acknowledged || len(outcome.LaggingProxies) != 0 {
		t.Fatalf("POST /v1/changes: got status %d, want 200 with an accepted and acknowledged change: %s", status, response)
	}
	if item := <-proxy.items; item.Kind != "segment" || item.Name != "testers" || proxy.applied.Load() < outcome.Revision {
		t.Errorf("update pushed to the proxy: got item %v and applied revision %d, want segment testers and at least revision %d",
			item, proxy.applied.Load(), outcome.Revision)
	}

	var trace ChangeTrace
	// A store that does not answer within the short query timeout is asked again: a busy machine may take longer.
	storeAnswered := func(_ int, response string) bool { return !strings.Contains(response, `"storeSilent":true`) }
	if _, response := core.request(t, 0, "GET", "/v1/trace/first", "", storeAnswered); json.Unmarshal([]byte(response), &trace) != nil ||
		!trace.KnownToStore || trace.Revision != outcome.Revision || trace.Seen.IsZero() || trace.Acknowledged.IsZero() ||
		trace.Applied[testProxyName].IsZero() || len(trace.Laggards) != 0 {
		t.Errorf("GET /v1/trace/first: got %s, want revision %d seen, acknowledged and applied by proxy %s, without laggards",
			response, outcome.Revision, testProxyName)
	}
	if status, response := core.request(t, 0, "GET", "/additional/items", "", isDecided); status != http.StatusOK {
		t.Fatalf("GET /additional/items: got status %d, want 200: %s", status, response)
	}
	isTesters := func(item *schema.Item) bool { return item.Kind == "segment" && item.Name == "testers" }
	if items := <-api.items; !slices.ContainsFunc(items, isTesters) {
		t.Errorf("ReadItems: got %v, want segment testers among the items", items)
	}
	checkOperatorResponses(t, core)
}

// checkOperatorResponses checks the status and a part of the response of each operator request, after the change
// "first" and with one proxy in session.
func checkOperatorResponses(t *testing.T, core *testCore) {
	t.Helper()
	for name, test := range map[string]struct {
		method, path, body string
		status             int
		contains           string
	}{
		"configuration has the change":         {"GET", "/v1/setup", "", http.StatusOK, `"change":"first"`},
		"outcome is acknowledged":              {"GET", "/v1/changes/first", "", http.StatusOK, `"acknowledged":true`},
		"unknown change is not found":          {"GET", "/v1/changes/other", "", http.StatusNotFound, string(errs.ChangeNotFound)},
		"worker is listed":                     {"GET", "/v1/workers", "", http.StatusOK, `"instance":"w1"`},
		"live proxy is counted":                {"GET", "/v1/status", "", http.StatusOK, `"members":1`},
		"no calls, no verdicts":                {"GET", "/v1/verdicts", "", http.StatusOK, `[]`},
		"no plans, no releases":                {"GET", "/v1/releases", "", http.StatusOK, `[]`},
		"unknown path is not found":            {"GET", "/v1/nothing", "", http.StatusNotFound, string(errs.RouteNotFound)},
		"unsupported method is not found":      {"DELETE", "/v1/setup", "", http.StatusNotFound, string(errs.RouteNotFound)},
		"malformed explain request is refused": {"POST", "/v1/explain", "{", http.StatusBadRequest, string(errs.MalformedRequest)},
		"malformed change is refused":          {"POST", "/v1/changes", "{", http.StatusBadRequest, string(errs.MalformedRequest)},
		"change without id is refused":         {"POST", "/v1/changes", `{"setup": ""}`, http.StatusBadRequest, string(errs.MalformedRequest)},
		"change with too long id is refused": {"POST", "/v1/changes", `{"id": "` + strings.Repeat("i", maxChangeIDBytes+1) + `"}`,
			http.StatusBadRequest, string(errs.MalformedRequest)},
		"change with faults is invalid": {"POST", "/v1/changes", `{"id": "bad", "setup": "segment: 7"}`,
			http.StatusBadRequest, string(errs.InvalidConfig)},
		"new item that already exists conflicts": {"POST", "/v1/changes", `{"id": "again", "setup": "segment: testers: {salt: \"u\"}"}`,
			http.StatusConflict, `"standing":[{"kind":"segment","name":"testers"`},
	} {
		t.Run(name, func(t *testing.T) {
			status, response := core.request(t, 0, test.method, test.path, test.body, isDecided)
			if status != test.status || !strings.Contains(response, test.contains) {
				t.Errorf("%s %s: got status %d and response %s, want status %d and a response with %s",
					test.method, test.path, status, response, test.status, test.contains)
			}
		})
	}
}

// TestRolloutIsDriven checks that the registry takes control of a rollout that an operator starts, and writes the
// plan's first step under its own member id.
func TestRolloutIsDriven(t *testing.T) {
	core := startTestCore(t, 1, false, WithOperatorAPI(&testAPI{}))
	status, response := core.request(t, 0, "POST", "/v1/changes",
		`{"id": "shop", "setup": "service: shop: {versions: [\"1.0.0\", \"2.0.0\"], fallback: \"1.0.0\"}"}`, isDecided)
	if status != http.StatusOK {
		t.Fatalf("POST /v1/changes with service shop: got status %d, want 200: %s", status, response)
	}
	const started = "RULING_ACCEPTED under way 2.0.0 true"
	if _, response := core.request(t, 0, "GET", "/additional/rollout", "", isDecided); response != started {
		t.Fatalf("StartRollout and RolloutStatus: got %q, want %q", response, started)
	}
	controlledHere := fmt.Sprintf(`"holder":"%s"`, core.hosts[0])
	var views []ReleaseView
	_, response = core.request(t, 0, "GET", "/v1/releases", "", containing(controlledHere))
	if err := json.Unmarshal([]byte(response), &views); err != nil || len(views) != 1 || views[0].Version != "2.0.0" || views[0].State == "" {
		t.Errorf("GET /v1/releases: got %s (decoding error %v), want one plan for version 2.0.0 with a state", response, err)
	}
}

// TestRegistriesSynchronize checks that every registry lists a worker that a proxy reported to one of them, and shows
// the status of all registries. It covers subscriptions between registries and, with a static member order, polls.
func TestRegistriesSynchronize(t *testing.T) {
	for name, staticOrder := range map[string]bool{"subscriptions": false, "polls": true} {
		t.Run(name, func(t *testing.T) {
			core := startTestCore(t, 3, staticOrder)
			for member := range core.hosts {
				core.request(t, member, "GET", "/v1/setup", "", containing("items"))
			}
			startTestProxy(t, core, 0)
			for member := range core.hosts {
				core.request(t, member, "GET", "/v1/workers", "", containing(`"instance":"w1"`))
				core.request(t, member, "GET", "/v1/status", "", func(_ int, response string) bool {
					var status CoreStatus
					return json.Unmarshal([]byte(response), &status) == nil && len(status.Registries) == 3 &&
						len(status.CoreMembers) == 3 && status.LiveProxies == 1
				})
			}
		})
	}
}

// TestRunRejectsInvalidOptions checks that Run fails with errs.InvalidOptions for contradictory options or unusable
// certificate files, and leaves the member id in the options unchanged.
func TestRunRejectsInvalidOptions(t *testing.T) {
	core := &testCore{hosts: []string{"127.0.0.1"}}
	for name, test := range map[string]struct {
		change func(*schema.RegistryOptions)
	}{
		"key window below four leases": {func(opts *schema.RegistryOptions) { opts.KeyWindow = minWindowLeases*opts.Lease - 1 }},
		"missing certificate file": {func(opts *schema.RegistryOptions) {
			opts.Links, opts.Certificate, opts.Authority = "tls", "none.pem", "none.pem"
		}},
	} {
		t.Run(name, func(t *testing.T) {
			opts := core.registryOptions(0)
			test.change(opts)
			err := Run(t.Context(), &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}, opts)
			if code := errs.CodeOf(err); err == nil || code != errs.InvalidOptions {
				t.Errorf("Run: got error %v with code %q, want code %q", err, code, errs.InvalidOptions)
			}
			if opts.Seat != core.hosts[0] {
				t.Errorf("member id in the options after Run: got %q, want %q", opts.Seat, core.hosts[0])
			}
		})
	}
}

// TestUnreadableRequestGetsErrorCode checks that the response to a request that could not be read has the code
// errs.BodyTooLarge if the body is too large, and errs.MalformedRequest for any other error.
func TestUnreadableRequestGetsErrorCode(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		code errs.Code
	}{
		"body too large":           {fasthttp.ErrBodyTooLarge, errs.BodyTooLarge},
		"body too large, wrapped":  {fmt.Errorf("reading: %w", fasthttp.ErrBodyTooLarge), errs.BodyTooLarge},
		"other error is malformed": {io.ErrUnexpectedEOF, errs.MalformedRequest},
	} {
		t.Run(name, func(t *testing.T) {
			call := &fasthttp.RequestCtx{}
			writeMalformedRequest(call, test.err)
			status, body := call.Response.StatusCode(), string(call.Response.Body())
			if status != errs.HTTPStatus(test.code) || !strings.Contains(body, string(test.code)) {
				t.Errorf("writeMalformedRequest(%v): got status %d and body %s, want status %d and code %s",
					test.err, status, body, errs.HTTPStatus(test.code), test.code)
			}
		})
	}
}
