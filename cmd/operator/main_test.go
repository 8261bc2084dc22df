package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"meadowhinge/internal/registry"
)

// fakeRegistry serves the operators' interface of a registry with one fixed response for each method and
// path. If status is not 0, every response has that status. The requests that it gets are appended to
// requests.
func fakeRegistry(t *testing.T, pages map[string]string, status int) (address string, requests *[]string) {
	t.Helper()
	requests = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(request.Body)
		*requests = append(*requests, request.Method+" "+request.URL.Path+" "+body.String())
		page, found := pages[request.Method+" "+request.URL.Path]
		switch {
		case status != 0:
			out.WriteHeader(status)
		case !found:
			out.WriteHeader(http.StatusNotFound)
		case strings.Contains(page, `"conflict"`):
			out.WriteHeader(http.StatusConflict)
		case strings.Contains(page, `"acknowledged":false`):
			out.WriteHeader(http.StatusAccepted)
		}
		_, _ = out.Write([]byte(page))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// goodPages are the responses of a healthy registry, by method and path.
var goodPages = map[string]string{
	"GET /v1/setup":       `{"sequence":7,"items":[{"kind":"segment","name":"s","version":3,"change":"ann-1","body":{"salt":"a"}}]}`,
	"POST /v1/changes":    `{"id":"x","ruling":"accepted","sequence":8,"acknowledged":true}`,
	"GET /v1/changes/x":   `{"id":"x","ruling":"accepted","sequence":8,"acknowledged":true}`,
	"GET /v1/verdicts":    `[{"flag":"release.shop","variation":"1","reason":"FALLTHROUGH","route":"look","outcome":"answered","calls":12}]`,
	"GET /v1/workers":     `[{"instance":"p/1","service":"shop","version":"1","area":"a","proxy":"p","load":0,"state":"serving"}]`,
	"GET /v1/releases":    `[{"name":"to","service":"shop","version":"2","target":50,"over":"10m","pace":"go","state":"ramp","share":20,"measured":19}]`,
	"GET /v1/status":      `{"store":{"replica":"a","leader":"b","epoch":7,"sequence":12,"committed":11,"vouched":true,"majority_age_nanos":250000000,"unfit":true,"heard":["b"],"waiting":["d"],"membership":{"members":[{"seat":"b"},{"seat":"c"}],"wanted":3}},"registries":[{"seat":"a","grants":true,"stable":7,"claims":4,"claims_count":true,"odd":["proxy p: lease is 9s there, 8s here"]}],"members":5}`,
	"POST /v1/explain":    `{"route":"look","service":"shop","class":"repeatable","horizon":"2s","verdict":{"flag":"release.shop","version":"1","reason":"FALLTHROUGH","setup":7},"pool":["p/1"]}`,
	"GET /v1/changes/odd": `{`,
}

// TestCommandsSendRequestsAndPrintResults checks that each subcommand with good input sends its request, prints the
// result as text and as JSON, and exits with 0.
func TestCommandsSendRequestsAndPrintResults(t *testing.T) {
	address, requests := fakeRegistry(t, goodPages, 0)
	for _, testCase := range []struct {
		args        []string
		in          string // standard input
		wantOutput  string // part of standard output
		wantRequest string // part of the requests that the registry gets; empty for any
	}{
		{[]string{"apply", "-"}, `segment: s: {salt: "b"}`, "accepted as 8, acknowledged: true", `"expected":{"segment/s":3}`},
		{[]string{"apply", "-id", "x", "-"}, `segment: t: {salt: "b"}`, "change x: accepted", `"id":"x"`},
		{[]string{"outcome", "x"}, "", "accepted as 8", ""},
		{[]string{"show"}, "", "setup 7", ""},
		{[]string{"verdicts"}, "", "FALLTHROUGH", ""},
		{[]string{"verdicts", "-watch", "1ms", "-times", "3"}, "", "SINCE", ""},
		{[]string{"workers"}, "", "serving", ""},
		{[]string{"releases"}, "", "20.0", ""},
		{[]string{"status"}, "", "SETTINGS CONTRADICT: proxy p: lease", ""},
		{[]string{"status"}, "", "store a: leader b, epoch 7, committed 11 of 12, majority heard 250ms ago\nmembers (2 of 3 wanted): b c; hears b\nthis store is no member", ""},
		{[]string{"status"}, "", "waiting to become members: d", ""},
		{[]string{"explain", "/shop/look"}, "", "version 1, because FALLTHROUGH of flag release.shop, by setup 7", `"path":"/shop/look"`},
		{[]string{"release", "-service", "shop", "-version", "2", "-target", "40", "new"}, "", "accepted", `target: 40`},
		{[]string{"release", "-pace", "hold", "to"}, "", "accepted", `pace: \"hold\"`},
		{[]string{"cancel", "to"}, "", "accepted", "remove: release"},
		{[]string{"stop", "shop", "2"}, "", "accepted", `stop: \"shop.2\"`},
		{[]string{"lift", "shop", "2"}, "", "accepted", "lifted: true"},
		{[]string{"-version"}, "", "operator 0", ""},
	} {
		t.Run(strings.Join(testCase.args, " "), func(t *testing.T) {
			var out, errOut bytes.Buffer
			*requests = nil
			if code := run(append([]string{"-registries", address}, testCase.args...), strings.NewReader(testCase.in), &out, &errOut); code != 0 || !strings.Contains(out.String(), testCase.wantOutput) {
				t.Errorf("exit code %d, output %q, errors %q; want code 0 and output with %q", code, out.String(), errOut.String(), testCase.wantOutput)
			}
			if sent := strings.Join(*requests, "\n"); !strings.Contains(sent, testCase.wantRequest) {
				t.Errorf("sent the requests\n%s\nwant one with %q", sent, testCase.wantRequest)
			}
			if testCase.args[0] == "-version" || len(testCase.args) > 4 && testCase.args[1] == "-watch" {
				return
			}
			out.Reset()
			if code := run(append([]string{"-registries", address, "-json"}, testCase.args...), strings.NewReader(testCase.in), &out, &errOut); code != 0 || !json.Valid(out.Bytes()) {
				t.Errorf("with -json: exit code %d, output %q, errors %q; want code 0 and valid JSON", code, out.String(), errOut.String())
			}
			out.Reset()
			if code := run([]string{testCase.args[0], "-help"}, nil, &out, &errOut); code != 0 || !strings.Contains(errOut.String(), "operator [flags] "+testCase.args[0]) {
				t.Errorf("%s -help: exit code %d, errors %q; want code 0 and the usage line", testCase.args[0], code, errOut.String())
			}
		})
	}
}

// TestExitCodesTellFailuresApart checks that each kind of failure has its own exit code and that the output names the
// cause.
func TestExitCodesTellFailuresApart(t *testing.T) {
	good, _ := fakeRegistry(t, goodPages, 0)
	unavailable, _ := fakeRegistry(t, nil, http.StatusServiceUnavailable)
	withPage := func(page, response string) string {
		pages := map[string]string{"GET /v1/setup": goodPages["GET /v1/setup"], page: response}
		address, _ := fakeRegistry(t, pages, 0)
		return address
	}
	const unreachable = "127.0.0.1:1"
	conflict, _ := json.Marshal(registry.ChangeResponse{ID: "x", Ruling: "conflict", ErrorCode: "CONFLICT", CurrentVersions: map[string]uint64{"segment/s": 9},
		CurrentItems: []registry.ItemView{{Kind: "segment", Name: "s", Version: 9, Change: "ben-4", Body: json.RawMessage(`{"salt":"his"}`)}}})
	for name, testCase := range map[string]struct {
		registries string // value of -registries
		args       []string
		in         string // standard input
		code       int    // wanted exit code
		wantOutput string // part of standard output and standard error
	}{
		"no registry reachable":                {unreachable, []string{"show"}, "", exitUnreachable, unreachable},
		"one of two registries is down":        {unreachable + "," + good, []string{"show"}, "", 0, "setup 7"},
		"one of two registries is unavailable": {unavailable + "," + good, []string{"show"}, "", 0, "setup 7"},
		"all registries are unavailable":       {unavailable, []string{"show"}, "", exitRefused, "NO_MAJORITY"},
		"change while one registry is down":    {unreachable + "," + good, []string{"apply", "-"}, `segment: t: {salt: ""}`, 0, "accepted"},
		"unknown command":                      {good, []string{"dance"}, "", exitUsage, "no such command"},
		"missing argument":                     {good, []string{"apply"}, "", exitUsage, "usage"},
		"unknown flag":                         {good, []string{"show", "-colour"}, "", exitUsage, "colour"},
		"malformed registry address":           {"here", []string{"show"}, "", exitUnreachable, "is not IP:port"},
		"missing setup file":                   {good, []string{"apply", "/nowhere"}, "", exitUsage, "BAD_OPTIONS"},
		"setup that violates the schema":       {good, []string{"apply", "-"}, `route: r: {prefix: 4}`, exitRefused, "route.r.prefix"},
		"new plan without a version":           {good, []string{"release", "-service", "shop", "new"}, "", exitUsage, "needs -service and -version"},
		"change id that is not a valid path":   {good, []string{"outcome", "%zz"}, "", exitUsage, "BAD_OPTIONS"},
		"outcome of an unknown change":         {good, []string{"outcome", "never"}, "", exitRefused, "UNKNOWN_CHANGE"},
		"change not acknowledged yet":          {withPage("POST /v1/changes", `{"id":"x","ruling":"accepted","acknowledged":false,"waiting":["p"]}`), []string{"apply", "-"}, `segment: t: {salt: ""}`, exitUnreachable, "operator outcome x"},
		"conflict shows the current item":      {withPage("POST /v1/changes", string(conflict)), []string{"apply", "-"}, `segment: s: {salt: "mine"}`, exitRefused, `by change ben-4: {"salt":"his"}`},
		"malformed response":                   {withPage("POST /v1/changes", `{`), []string{"apply", "-"}, `segment: t: {salt: ""}`, exitUnreachable, "MALFORMED"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(append([]string{"-registries", testCase.registries, "-timeout", "2s"}, testCase.args...), strings.NewReader(testCase.in), &out, &errOut)
			if all := out.String() + errOut.String(); code != testCase.code || !strings.Contains(all, testCase.wantOutput) {
				t.Errorf("exit code %d, output %q; want code %d and output with %q", code, all, testCase.code, testCase.wantOutput)
			}
		})
	}
}
