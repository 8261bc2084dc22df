package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/registry"
)

// fakeCoreMember serves one trace over HTTP, as the operators' interface of a core member does, and returns
// its address.
func fakeCoreMember(t *testing.T, trace registry.ChangeTrace) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(out).Encode(trace) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestTracerExitCodesAndOutput checks the exit code and output for a change that some nodes have, for a change that
// no store knows, for nodes that do not answer, and for invalid command lines.
func TestTracerExitCodesAndOutput(t *testing.T) {
	at := time.Unix(1000, 0)
	leader := fakeCoreMember(t, registry.ChangeTrace{MemberID: "a", KnownToStore: true, Ruling: "accepted", Revision: 7, Term: 3, Leader: "a", Appended: at, Durable: at.Add(time.Millisecond),
		Committed: at.Add(2 * time.Millisecond), Seen: at.Add(3 * time.Millisecond), Acknowledged: at.Add(9 * time.Millisecond),
		Applied: map[string]time.Time{"edge-1": at.Add(5 * time.Millisecond)}, Laggards: []string{"edge-2"}})
	unaware := fakeCoreMember(t, registry.ChangeTrace{MemberID: "b"})
	withoutStore := fakeCoreMember(t, registry.ChangeTrace{MemberID: "c", StoreUnreachable: true})
	closed := httptest.NewServer(http.NotFoundHandler())
	unreachable := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	for name, testCase := range map[string]struct {
		args       []string
		code       int      // wanted exit code
		wantOutput []string // parts of standard output and standard error
	}{
		"change while one core machine is down": {[]string{"-registries", leader + "," + unaware + "," + unreachable, "x"}, 0, []string{"accepted as 7 in epoch 3", "store a appended it",
			"store a synced it", "registry a received it", "proxy edge-1 applied it", "registry a acknowledged it", "missing: store b", "missing: proxy edge-2", unreachable}},
		"unknown change":             {[]string{"-registries", unaware, "x"}, exitNotFound, []string{"UNKNOWN_CHANGE"}},
		"no core member answers":     {[]string{"-registries", unreachable, "x"}, exitUnreachable, []string{"NO_MAJORITY", unreachable}},
		"no store answers":           {[]string{"-registries", withoutStore, "x"}, exitUnreachable, []string{"no store answered"}},
		"missing change id":          {[]string{"-registries", leader}, exitUsage, []string{"usage"}},
		"malformed registry address": {[]string{"-registries", "here", "x"}, exitUsage, []string{"BAD_OPTIONS", `"here"`}},
		"unknown flag":               {[]string{"-colour", "x"}, exitUsage, []string{"colour"}},
		"help":                       {[]string{"-help"}, 0, []string{"usage"}},
		"JSON":                       {[]string{"-json", "-registries", leader, "x"}, 0, []string{`"sequence": 7`}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if code := run(testCase.args, &out, &out); code != testCase.code {
				t.Errorf("exit code %d, want %d; output:\n%s", code, testCase.code, out.String())
			}
			for _, part := range testCase.wantOutput {
				if !strings.Contains(out.String(), part) {
					t.Errorf("output:\n%s\nwant it to contain %q", out.String(), part)
				}
			}
		})
	}
}
