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

// buildWithRaceDetector builds the daemons with the race detector, with which a process that had a data race exits with
// an error. It returns the folder of the binaries.
func buildWithRaceDetector(t *testing.T) string {
	t.Helper()
	binaries := t.TempDir()
	if out, err := exec.Command("go", "build", "-race", "-o", binaries+"/", "meadowhinge/cmd/proxy", "meadowhinge/cmd/registry", "meadowhinge/cmd/store", "meadowhinge/cmd/testbed").CombinedOutput(); err != nil {
		t.Fatalf("go build -race failed: %v: %s", err, out)
	}
	return binaries
}

// TestSmallFleet checks that a small fleet of real processes violates no invariant in the standard scenario. The checks
// do not depend on the speed of the machine.
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
		t.Fatalf("Run() failed: %v", err)
	}
	report.Print(t.Output())
	for _, finding := range report.Findings {
		if finding.Violations > 0 {
			t.Errorf("%q was violated %d times, want 0: %v", finding.Rule, finding.Violations, finding.Examples)
		}
	}
	if len(report.UncleanExits) > 0 {
		t.Errorf("processes %v did not exit with 0 on SIGTERM, want all to", report.UncleanExits)
	}
	if report.Outcomes["answered"] == 0 || report.Acknowledged == 0 {
		t.Errorf("got outcomes %v and %d acknowledged changes, want at least 1 answered call and 1 acknowledged change",
			report.Outcomes, report.Acknowledged)
	}
}

// TestResponsesToInput checks the responses of a running fleet to valid input and to each kind of invalid input.
func TestResponsesToInput(t *testing.T) {
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
		t.Fatalf("Run() failed: %v", err)
	}
	if len(report.UncleanExits) > 0 {
		t.Errorf("processes %v did not exit with 0 on SIGTERM, want all to", report.UncleanExits)
	}
}

// checkInputs sends valid and invalid requests of callers, workers and operators to a running fleet. It checks status
// codes and bodies, that a request with an idempotency key is executed once, and the verdict counts.
func checkInputs(t *testing.T, fleet *Fleet) {
	t.Helper()
	// countedRetries is the number of attempts beyond the first that are in the verdict counts. A call that was rejected
	// with Retry-After, as by a proxy on a machine too busy to renew its lease, is retried. Each attempt that got a plan
	// is counted, whatever its outcome.
	countedRetries := uint64(0)
	send := func(method, address, path, body string, headers ...string) (int, string, http.Header) {
		t.Helper()
		request, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%s %s%s failed: %v", method, address, path, err)
		}
		defer func() { _ = response.Body.Close() }() // the response is only read
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text), response.Header
	}
	sendWithRetries := func(method, address, path, body string, headers ...string) (int, string, http.Header) {
		t.Helper()
		for deadline := time.Now().Add(time.Minute); ; {
			status, text, header := send(method, address, path, body, headers...)
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || time.Now().After(deadline) {
				return status, text, header
			}
			if header.Get("Meadowhinge-Version") != "" {
				countedRetries++
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
		parts                             []string // texts that the body of the response must contain
	}{
		{"an allowed call is answered", "GET", caller, "/shop/look", "", 200, []string{`"op"`}},
		{"a path without a route is rejected", "GET", caller, "/nowhere", "", 404, []string{"NO_ROUTE", "not-run"}},
		{"a caller that is not allowed is rejected", "GET", shop, "/shop/look", "", 403, []string{"CALLER_NOT_ALLOWED", "not-run"}},
		{"an oversized body is rejected", "POST", caller, "/shop/buy", big, 413, []string{"TOO_LARGE", "not-run"}},
		{"a worker description with missing fields is rejected", "POST", workerAPI, "/v1/worker", `{"address": "here"}`, 400, []string{"MALFORMED", "address", "service", "token", "beatMs"}},
		{"a worker description with an unknown field is rejected", "POST", workerAPI, "/v1/worker", `{"colour": "red"}`, 400, []string{"MALFORMED", "colour"}},
		{"a change that is not JSON is rejected", "POST", operatorAPI, "/v1/changes", "x", 400, []string{"MALFORMED"}},
		{"a configuration that violates the schema is rejected", "POST", operatorAPI, "/v1/changes", change("s1", `service: x: {versions: [], fallback: "1", callers: [], colour: 1}
route: y: {service: "x", prefix: "none"}`), 400, []string{`"service.x.colour"`, `"route.y.prefix"`}},
		{"a configuration with invalid references is rejected", "POST", operatorAPI, "/v1/changes", change("s2", `route: x: {service: "gone", prefix: "/x"}
flag: y: {on: true, salt: "", variations: ["a"], offVariation: 4, fallthrough: {variation: 0}}`), 400, []string{"route.x.service", "flag.y.offVariation"}},
		{"a change that expects an older version is a conflict", "POST", operatorAPI, "/v1/changes", change("s3", Deployments["small"].FlagText("shop", 1, 1)), 409, []string{"CONFLICT", `"flag/release.shop":1`}},
		{"a change with a new item is acknowledged", "POST", operatorAPI, "/v1/changes", change("s4", `segment: t: {salt: "t"}`), 200, []string{`"accepted"`, `"acknowledged":true`}},
		{"a repeated change id gets the first ruling", "POST", operatorAPI, "/v1/changes", change("s4", `segment: t: {salt: "t"}`), 200, []string{`"accepted"`}},
		{"the outcome of a change can be read", "GET", operatorAPI, "/v1/changes/s3", "", 200, []string{`"conflict"`}},
		{"the outcome of an unknown change is not found", "GET", operatorAPI, "/v1/changes/never", "", 404, []string{"UNKNOWN_CHANGE"}},
		{"an explanation names the release flag", "POST", operatorAPI, "/v1/explain", `{"caller": "client", "method": "GET", "path": "/shop/look", "headers": {"X-User": "ann"}}`, 200, []string{`"FALLTHROUGH"`, `"release.shop"`}},
		{"an explanation without a user shows the error", "POST", operatorAPI, "/v1/explain", `{"caller": "client", "method": "GET", "path": "/shop/look"}`, 200, []string{`"ERROR"`, "USER_NOT_SPECIFIED"}},
		{"a route with a policy is acknowledged", "POST", operatorAPI, "/v1/changes", change("s5", `policy: grown: expression: "age >= 18"
route: bar: {service: "shop", prefix: "/shop/bar", key: "X-User", attributes: age: "X-Age", policy: "grown"}`), 200, []string{`"acknowledged":true`}},
		{"a call that violates its policy is rejected", "GET", caller, "/shop/bar", "", 403, []string{"POLICY_REFUSED", "not-run"}},
		{"an explanation names the policy that is violated", "POST", operatorAPI, "/v1/explain", `{"caller": "client", "method": "GET", "path": "/shop/bar", "headers": {"X-User": "ann", "X-Age": "17"}}`, 200, []string{`"refused":true`, `"grown"`, `"POLICY"`}},
		{"the removal of a policy in use is rejected", "POST", operatorAPI, "/v1/changes", `{"id": "s6", "setup": "remove: policy: [\"grown\"]", "expected": {"policy/grown": 5}}`, 400, []string{"route.bar.policy"}},
		{"a policy with a malformed expression is rejected", "POST", operatorAPI, "/v1/changes", change("s7", `policy: odd: expression: "colour =="`), 400, []string{"policy.odd.expression", "line 1"}},
		{"an empty idempotency key is rejected", "POST", caller, "/shop/buy", "{}", 400, []string{"MALFORMED", "Idempotency-Key"}},
		{"an unknown operator page is not found", "GET", operatorAPI, "/v1/nothing", "", 404, []string{"NO_ROUTE"}},
	} {
		headers := []string{"X-User", "ann", operationHeader, "op-" + testCase.name}
		if testCase.name == "an empty idempotency key is rejected" {
			headers = append(headers, "Idempotency-Key", "")
		}
		status, text, _ := sendWithRetries(testCase.method, testCase.address, testCase.path, testCase.body, headers...)
		if status != testCase.status {
			t.Errorf("%s: %s %s: status %d, want %d; body %s", testCase.name, testCase.method, testCase.path, status, testCase.status, text)
		}
		for _, part := range testCase.parts {
			if !strings.Contains(text, part) {
				t.Errorf("%s: %s %s: body %s, want it to contain %s", testCase.name, testCase.method, testCase.path, text, part)
			}
		}
	}
	// A request with an idempotency key is executed once. A repeated request gets the first response; a request with the
	// same key and another body is rejected.
	_, first, _ := sendWithRetries("POST", caller, "/shop/buy", "{}", "X-User", "ann", operationHeader, "k1", "Idempotency-Key", "key")
	_, repeat, header := sendWithRetries("POST", caller, "/shop/buy", "{}", "X-User", "ann", operationHeader, "k2", "Idempotency-Key", "key")
	if first != repeat || header.Get("Meadowhinge-Outcome") != "answered" {
		t.Errorf("a repeated request with an idempotency key got outcome %q and body %s, want answered and %s",
			header.Get("Meadowhinge-Outcome"), repeat, first)
	}
	if status, text, _ := sendWithRetries("POST", caller, "/shop/buy", `{"other":1}`, "X-User", "ann", operationHeader, "k3", "Idempotency-Key", "key"); status != 422 || !strings.Contains(text, "IDEMPOTENCY_KEY_REUSED") {
		t.Errorf("a request with a used idempotency key and another body got %d %s, want 422 with IDEMPOTENCY_KEY_REUSED", status, text)
	}
	// The verdict counts of the proxies reach the registries. Each call must be counted once.
	var counts []registry.VerdictCount
	counted := uint64(0)
	operator := NewOperator("person", fleet, &History{}, func() time.Duration { return 0 })
	for deadline := time.Now().Add(time.Minute); counted < 5+countedRetries && time.Now().Before(deadline); {
		if _, err := operator.call(2, http.MethodGet, "/v1/verdicts", nil, &counts); err != nil {
			t.Fatalf("GET /v1/verdicts failed: %v", err)
		}
		counted = 0
		for _, count := range counts {
			counted += count.Calls
		}
	}
	// Four calls got a plan: the allowed one and three with the idempotency key. A policy rejected a fifth, which counts.
	if counted != 5+countedRetries {
		t.Errorf("the registries counted %d calls, want %d: %v", counted, 5+countedRetries, counts)
	}
}
