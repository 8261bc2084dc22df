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

// testAPI is a dialect of two paths. It records what the backend gave.
type testAPI struct {
	items chan []*schema.Item
}

func (a *testAPI) Handle(call *fasthttp.RequestCtx, backend OperatorBackend) bool {
	switch string(call.Path()) {
	case "/dialect/items":
		items, known := backend.ReadItems(call)
		if !known {
			call.SetStatusCode(http.StatusServiceUnavailable)
			return true
		}
		a.items <- items
	case "/dialect/rollout":
		outcome := backend.StartRollout(call, "shop", "2.0.0", time.Minute)
		state, version, known := backend.RolloutStatus(call, "shop")
		call.SetBodyString(fmt.Sprint(outcome.GetRuling(), " ", state, " ", version, " ", known))
	default:
		return false
	}
	return true
}

// A change that an operator sends is committed, pushed to a proxy in session, and answered once the proxy has applied it; and
// the pages for operators show each of these steps. This is the path that doc.go describes, through a real store.
func TestChangeReachesProxy(t *testing.T) {
	dialect := &testAPI{items: make(chan []*schema.Item, 1)}
	core := startTestCore(t, 1, false, WithOperatorAPI(dialect))
	if status, response := core.request(t, 0, "GET", "/v1/setup", "", isDecided); status != http.StatusOK {
		t.Fatalf("the configuration page before any change: %d, %s", status, response)
	}
	proxy := startTestProxy(t, core, 0)
	status, response := core.request(t, 0, "POST", "/v1/changes",
		`{"id": "first", "setup": "segment: testers: {salt: \"t\", included: [\"ann\"]}"}`, isDecided)
	var outcome ChangeResponse
	if err := json.Unmarshal([]byte(response), &outcome); err != nil {
		t.Fatal(err)
	}
	if status != http.StatusOK || outcome.Ruling != "accepted" || !outcome.Acknowledged || len(outcome.LaggingProxies) != 0 {
		t.Fatalf("the change: %d, %s", status, response)
	}
	if item := <-proxy.items; item.Kind != "segment" || item.Name != "testers" || proxy.applied.Load() < outcome.Sequence {
		t.Errorf("the proxy got %v and applied %d, not %d", item, proxy.applied.Load(), outcome.Sequence)
	}

	var trace ChangeTrace
	if _, response := core.request(t, 0, "GET", "/v1/trace/first", "", isDecided); json.Unmarshal([]byte(response), &trace) != nil ||
		!trace.KnownToStore || trace.Sequence != outcome.Sequence || trace.Seen.IsZero() || trace.Acknowledged.IsZero() ||
		trace.Applied[testProxyName].IsZero() || len(trace.Laggards) != 0 {
		t.Errorf("the trace: %s", response)
	}
	if status, _ := core.request(t, 0, "GET", "/dialect/items", "", isDecided); status != http.StatusOK {
		t.Fatalf("the dialect: %d", status)
	}
	isTesters := func(item *schema.Item) bool { return item.Kind == "segment" && item.Name == "testers" }
	if items := <-dialect.items; !slices.ContainsFunc(items, isTesters) {
		t.Errorf("the dialect read %v", items)
	}
	checkOperatorPages(t, core)
}

// checkOperatorPages checks the status and a word of each page, after the change "first" and with one proxy in session.
func checkOperatorPages(t *testing.T, core *testCore) {
	t.Helper()
	for name, test := range map[string]struct {
		method, path, body string
		status             int
		contains           string
	}{
		"configuration":          {"GET", "/v1/setup", "", http.StatusOK, `"change":"first"`},
		"outcome":                {"GET", "/v1/changes/first", "", http.StatusOK, `"acknowledged":true`},
		"unknown outcome":        {"GET", "/v1/changes/other", "", http.StatusNotFound, string(errs.ChangeNotFound)},
		"workers":                {"GET", "/v1/workers", "", http.StatusOK, `"instance":"w1"`},
		"status":                 {"GET", "/v1/status", "", http.StatusOK, `"members":1`},
		"verdicts":               {"GET", "/v1/verdicts", "", http.StatusOK, `[]`},
		"releases":               {"GET", "/v1/releases", "", http.StatusOK, `[]`},
		"no page":                {"GET", "/v1/nothing", "", http.StatusNotFound, string(errs.RouteNotFound)},
		"page by another method": {"DELETE", "/v1/setup", "", http.StatusNotFound, string(errs.RouteNotFound)},
		"malformed question":     {"POST", "/v1/explain", "{", http.StatusBadRequest, string(errs.MalformedRequest)},
		"malformed change":       {"POST", "/v1/changes", "{", http.StatusBadRequest, string(errs.MalformedRequest)},
		"change without id":      {"POST", "/v1/changes", `{"setup": ""}`, http.StatusBadRequest, string(errs.MalformedRequest)},
		"change with a long id": {"POST", "/v1/changes", `{"id": "` + strings.Repeat("i", maxChangeIDBytes+1) + `"}`,
			http.StatusBadRequest, string(errs.MalformedRequest)},
		"change with faults": {"POST", "/v1/changes", `{"id": "bad", "setup": "segment: 7"}`,
			http.StatusBadRequest, string(errs.InvalidConfig)},
		"change of a new item that exists": {"POST", "/v1/changes", `{"id": "again", "setup": "segment: testers: {salt: \"u\"}"}`,
			http.StatusConflict, `"standing":[{"kind":"segment","name":"testers"`},
	} {
		t.Run(name, func(t *testing.T) {
			status, response := core.request(t, 0, test.method, test.path, test.body, isDecided)
			if status != test.status || !strings.Contains(response, test.contains) {
				t.Errorf("%d, want %d with %s: %s", status, test.status, test.contains, response)
			}
		})
	}
}

// A rollout that an operator starts is driven: the registry has control, and writes the plan's first step under its own id.
func TestRolloutIsDriven(t *testing.T) {
	core := startTestCore(t, 1, false, WithOperatorAPI(&testAPI{}))
	status, response := core.request(t, 0, "POST", "/v1/changes",
		`{"id": "shop", "setup": "service: shop: {versions: [\"1.0.0\", \"2.0.0\"], fallback: \"1.0.0\"}"}`, isDecided)
	if status != http.StatusOK {
		t.Fatalf("the service: %d, %s", status, response)
	}
	if _, response := core.request(t, 0, "GET", "/dialect/rollout", "", isDecided); response != "RULING_ACCEPTED under way 2.0.0 true" {
		t.Fatalf("the rollout: %s", response)
	}
	driven := fmt.Sprintf(`"holder":"%s"`, core.hosts[0])
	var views []ReleaseView
	_, response = core.request(t, 0, "GET", "/v1/releases", "", showing(driven))
	if err := json.Unmarshal([]byte(response), &views); err != nil || len(views) != 1 || views[0].Version != "2.0.0" || views[0].State == "" {
		t.Errorf("the releases: %s, %v", response, err)
	}
}

// Registries keep each other level: a worker that a proxy reports to one is listed by the others, and each answers for all of them,
// whether they subscribe to one another or, under a static member order, poll.
func TestRegistriesKeepLevel(t *testing.T) {
	for name, staticOrder := range map[string]bool{"subscriptions": false, "polls": true} {
		t.Run(name, func(t *testing.T) {
			core := startTestCore(t, 3, staticOrder)
			for member := range core.hosts {
				core.request(t, member, "GET", "/v1/setup", "", showing("items"))
			}
			startTestProxy(t, core, 0)
			for member := range core.hosts {
				core.request(t, member, "GET", "/v1/workers", "", showing(`"instance":"w1"`))
				core.request(t, member, "GET", "/v1/status", "", func(_ int, response string) bool {
					var status CoreStatus
					return json.Unmarshal([]byte(response), &status) == nil && len(status.Registries) == 3 &&
						len(status.CoreMembers) == 3 && status.LiveProxies == 1
				})
			}
		})
	}
}

// Run refuses options that contradict each other before it listens anywhere, and leaves them as they are.
func TestRunChecksOptions(t *testing.T) {
	core := &testCore{hosts: []string{"127.0.0.1"}}
	for name, test := range map[string]struct {
		change func(*schema.RegistryOptions)
	}{
		"window shorter than four leases": {func(opts *schema.RegistryOptions) { opts.KeyWindow = minWindowLeases*opts.Lease - 1 }},
		"certificate that is not there": {func(opts *schema.RegistryOptions) {
			opts.Links, opts.Certificate, opts.Authority = "tls", "none.pem", "none.pem"
		}},
	} {
		t.Run(name, func(t *testing.T) {
			opts := core.registryOptions(0)
			test.change(opts)
			err := Run(t.Context(), &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}, opts)
			if code := errs.CodeOf(err); err == nil || code != errs.InvalidOptions {
				t.Errorf("Run ended with %v of code %q", err, code)
			}
			if opts.Seat != core.hosts[0] {
				t.Errorf("the member's name was changed to %q", opts.Seat)
			}
		})
	}
}

// A request that cannot be read is answered with the reason: that its body is too large, or that it is malformed.
func TestMalformedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		code errs.Code
	}{
		"body too large": {fasthttp.ErrBodyTooLarge, errs.BodyTooLarge},
		"wrapped":        {fmt.Errorf("reading: %w", fasthttp.ErrBodyTooLarge), errs.BodyTooLarge},
		"anything else":  {io.ErrUnexpectedEOF, errs.MalformedRequest},
	} {
		t.Run(name, func(t *testing.T) {
			call := &fasthttp.RequestCtx{}
			writeMalformedRequest(call, test.err)
			status, body := call.Response.StatusCode(), string(call.Response.Body())
			if status != errs.HTTPStatus(test.code) || !strings.Contains(body, string(test.code)) {
				t.Errorf("%d: %s", status, body)
			}
		})
	}
}
