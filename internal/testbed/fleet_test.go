package testbed

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/registry"
)

// buildWithRaceDetector builds the daemons with the race detector: one that found a race exits with an error.
func buildWithRaceDetector(t *testing.T) string {
	t.Helper()
	binaries := t.TempDir()
	if out, err := exec.Command("go", "build", "-race", "-o", binaries+"/", "meadowhinge/cmd/proxy", "meadowhinge/cmd/registry", "meadowhinge/cmd/store", "meadowhinge/cmd/testbed").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binaries
}

// TestSmallFleet checks that a small fleet of real processes violates no invariant under the standard scenario.
// What is checked does not depend on the speed of the machine.
func TestSmallFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	binaries := buildWithRaceDetector(t)
	report, err := Run(Options{
		Deployment:    Deployments["small"],
		Folder:        t.TempDir(),
		Binaries:      binaries,
		LoadDuration:  20 * time.Second,
		Lease:         3 * time.Second,
		Seed:          1,
		Scenario:      "standard",
		RateFactor:    0.5,
		DrainingBound: 20 * time.Second,
		Out:           t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	report.Print(t.Output())
	for _, finding := range report.Findings {
		if finding.Violations > 0 {
			t.Errorf("%s: %v", finding.Rule, finding.Examples)
		}
	}
	if len(report.UncleanExits) > 0 {
		t.Errorf("these did not end cleanly on SIGTERM: %v", report.UncleanExits)
	}
	if report.Outcomes["answered"] == 0 || report.Acknowledged == 0 {
		t.Errorf("nothing was judged: %v, %d yeses", report.Outcomes, report.Acknowledged)
	}
}

// TestWhatInputGets checks the responses of a running fleet to bad input of each kind, and to good input.
func TestWhatInputGets(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	report, err := Run(Options{
		Deployment: Deployments["small"],
		Folder:     t.TempDir(),
		Binaries:   buildWithRaceDetector(t),
		Lease:      4 * time.Second,
		Scenario:   "none",
		RateFactor: 1,
		Out:        t.Output(),
		OnReady:    func(fleet *Fleet) { checkInputs(t, fleet) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.UncleanExits) > 0 {
		t.Errorf("SIGTERM did not end these with 0: %v", report.UncleanExits)
	}
}

// checkInputs sends good and bad requests of callers, workers and operators to a running fleet, and checks
// statuses, bodies, the single execution under an idempotency key, and the count of verdicts.
func checkInputs(t *testing.T, fleet *Fleet) {
	t.Helper()
	// A rejection with Retry-After, as of a machine too busy for its leases, is retried. Each call that got a plan
	// counts, whatever its outcome.
	repeats := uint64(0)
	once := func(method, address, path, body string, headers ...string) (int, string, http.Header) {
		t.Helper()
		request, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }() // the response is only read
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text), response.Header
	}
	ask := func(method, address, path, body string, headers ...string) (int, string, http.Header) {
		t.Helper()
		for deadline := time.Now().Add(time.Minute); ; {
			status, text, header := once(method, address, path, body, headers...)
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || time.Now().After(deadline) {
				return status, text, header
			}
			if header.Get("Meadowhinge-Version") != "" {
				repeats++
			}
		}
	}
	caller, shop := fleet.CallerAddress(0, clientCaller), fleet.CallerAddress(0, "shop")
	operatorAPI, workerAPI := fleet.OperatorAddress(1), fmt.Sprintf("%s:%d", fleet.edgeAddress(0), portWorkerAPI)
	big := strings.Repeat("x", 2<<20)
	change := func(id, setup string) string { return fmt.Sprintf(`{"id": %q, "setup": %q}`, id, setup) }
	for _, testCase := range []struct {
		name, method, address, path, body string
		status                            int
		parts                             []string
	}{
		{"a proper call", "GET", caller, "/shop/look", "", 200, []string{`"op"`}},
		{"no such route", "GET", caller, "/nowhere", "", 404, []string{"NO_ROUTE", "not-run"}},
		{"a caller not allowed", "GET", shop, "/shop/look", "", 403, []string{"CALLER_NOT_ALLOWED", "not-run"}},
		{"an oversized body", "POST", caller, "/shop/buy", big, 413, []string{"TOO_LARGE", "not-run"}},
		{"a malformed self-description", "POST", workerAPI, "/v1/worker", `{"address": "here"}`, 400, []string{"MALFORMED", "address", "service", "token", "beatMs"}},
		{"a self-description with an unknown field", "POST", workerAPI, "/v1/worker", `{"colour": "red"}`, 400, []string{"MALFORMED", "colour"}},
		{"a change that is no JSON", "POST", operatorAPI, "/v1/changes", "x", 400, []string{"MALFORMED"}},
		{"a setup that breaks the schema", "POST", operatorAPI, "/v1/changes", change("s1", `service: x: {versions: [], fallback: "1", callers: [], colour: 1}
route: y: {service: "x", prefix: "none"}`), 400, []string{`"service.x.colour"`, `"route.y.prefix"`}},
		{"a setup with several cross faults", "POST", operatorAPI, "/v1/changes", change("s2", `route: x: {service: "gone", prefix: "/x"}
flag: y: {on: true, salt: "", variations: ["a"], offVariation: 4, fallthrough: {variation: 0}}`), 400, []string{"route.x.service", "flag.y.offVariation"}},
		{"a change written against an older version", "POST", operatorAPI, "/v1/changes", change("s3", Deployments["small"].FlagText("shop", 1, 1)), 409, []string{"CONFLICT", `"flag/release.shop":1`}},
		{"a new item", "POST", operatorAPI, "/v1/changes", change("s4", `segment: t: {salt: "t"}`), 200, []string{`"accepted"`, `"acknowledged":true`}},
		{"the same id again", "POST", operatorAPI, "/v1/changes", change("s4", `segment: t: {salt: "t"}`), 200, []string{`"accepted"`}},
		{"what became of a change", "GET", operatorAPI, "/v1/changes/s3", "", 200, []string{`"conflict"`}},
		{"what became of a change nobody stated", "GET", operatorAPI, "/v1/changes/never", "", 404, []string{"UNKNOWN_CHANGE"}},
		{"an explanation", "POST", operatorAPI, "/v1/explain", `{"caller": "client", "method": "GET", "path": "/shop/look", "headers": {"X-User": "ann"}}`, 200, []string{`"FALLTHROUGH"`, `"release.shop"`}},
		{"an explanation without a key", "POST", operatorAPI, "/v1/explain", `{"caller": "client", "method": "GET", "path": "/shop/look"}`, 200, []string{`"ERROR"`, "USER_NOT_SPECIFIED"}},
		{"a policy on a route", "POST", operatorAPI, "/v1/changes", change("s5", `policy: grown: expression: "age >= 18"
route: bar: {service: "shop", prefix: "/shop/bar", key: "X-User", attributes: age: "X-Age", policy: "grown"}`), 200, []string{`"acknowledged":true`}},
		{"a call that its policy refuses", "GET", caller, "/shop/bar", "", 403, []string{"POLICY_REFUSED", "not-run"}},
		{"an explanation of that", "POST", operatorAPI, "/v1/explain", `{"caller": "client", "method": "GET", "path": "/shop/bar", "headers": {"X-User": "ann", "X-Age": "17"}}`, 200, []string{`"refused":true`, `"grown"`, `"POLICY"`}},
		{"a policy in use, removed", "POST", operatorAPI, "/v1/changes", `{"id": "s6", "setup": "remove: policy: [\"grown\"]", "expected": {"policy/grown": 5}}`, 400, []string{"route.bar.policy"}},
		{"a policy that names nothing known", "POST", operatorAPI, "/v1/changes", change("s7", `policy: odd: expression: "colour =="`), 400, []string{"policy.odd.expression", "line 1"}},
		{"an empty key", "POST", caller, "/shop/buy", "{}", 400, []string{"MALFORMED", "Idempotency-Key"}},
		{"no such page", "GET", operatorAPI, "/v1/nothing", "", 404, []string{"NO_ROUTE"}},
	} {
		headers := []string{"X-User", "ann", operationHeader, "op-" + testCase.name}
		if testCase.name == "an empty key" {
			headers = append(headers, "Idempotency-Key", "")
		}
		status, text, _ := ask(testCase.method, testCase.address, testCase.path, testCase.body, headers...)
		if status != testCase.status {
			t.Errorf("%s: status %d, want %d: %s", testCase.name, status, testCase.status, text)
		}
		for _, part := range testCase.parts {
			if !strings.Contains(text, part) {
				t.Errorf("%s: no %s in %s", testCase.name, part, text)
			}
		}
	}
	// Under one idempotency key a request is executed once: a repeat gets the first response, another body is
	// rejected.
	_, first, _ := ask("POST", caller, "/shop/buy", "{}", "X-User", "ann", operationHeader, "k1", "Idempotency-Key", "key")
	_, repeat, header := ask("POST", caller, "/shop/buy", "{}", "X-User", "ann", operationHeader, "k2", "Idempotency-Key", "key")
	if first != repeat || header.Get("Meadowhinge-Outcome") != "answered" {
		t.Errorf("a repeat under one key got %s, the first %s", repeat, first)
	}
	if status, text, _ := ask("POST", caller, "/shop/buy", `{"other":1}`, "X-User", "ann", operationHeader, "k3", "Idempotency-Key", "key"); status != 422 || !strings.Contains(text, "IDEMPOTENCY_KEY_REUSED") {
		t.Errorf("the key with another body got %d %s", status, text)
	}
	// The counts of verdicts reach the registries, each call once.
	var lines []registry.VerdictCount
	counted := uint64(0)
	operator := NewOperator("person", fleet, &History{}, func() time.Duration { return 0 })
	for deadline := time.Now().Add(time.Minute); counted < 5+repeats && time.Now().Before(deadline); {
		if _, err := operator.call(2, http.MethodGet, "/v1/verdicts", nil, &lines); err != nil {
			t.Fatal(err)
		}
		counted = 0
		for _, line := range lines {
			counted += line.Calls
		}
	}
	// Four calls got a plan, the proper one and three under the key; a policy rejected a fifth.
	if counted != 5+repeats {
		t.Errorf("%d calls counted, not %d: %v", counted, 5+repeats, lines)
	}
}
