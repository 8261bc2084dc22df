// Package golden_test compares the names that operators, callers and workers see with golden files, where one file
// covers several packages. It holds only tests.
package golden_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/flightrecorder"
	"meadowhinge/internal/goldenfile"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/release"
	"meadowhinge/internal/statuspage"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// TestPageKeysGolden compares the JSON keys of every status page, operator request and operator response with the
// golden files. It guards against a renamed Go field without a JSON tag, which would silently rename its key.
func TestPageKeysGolden(t *testing.T) {
	for name, page := range map[string]any{
		"probe-ready":             daemon.Readiness{},
		"probe-process":           daemon.Process{},
		"probe-certificate":       transport.CertificateStatus{},
		"probe-traffic":           transport.Traffic{},
		"refusal":                 daemon.ErrorResponse{},
		"proxy-status":            proxy.Status{},
		"proxy-events":            []proxy.EventSummary{},
		"worker-description":      dispatch.WorkerDescription{},
		"store-status":            &statuspage.Replica{},
		"registry-status":         &statuspage.Registry{},
		"operator-change":         registry.ChangeRequest{},
		"operator-change-answer":  registry.ChangeResponse{},
		"operator-setup":          registry.ConfigView{},
		"operator-verdicts":       []registry.VerdictCount{},
		"operator-workers":        []registry.WorkerView{},
		"operator-releases":       []registry.ReleaseView{},
		"operator-status":         registry.CoreStatus{},
		"operator-explain":        registry.ExplainRequest{},
		"operator-explain-answer": registry.ExplainResponse{},
		"operator-trace":          registry.ChangeTrace{},
		"item-service":            config.Service{},
		"item-route":              config.Route{},
		"item-limits":             config.Limits{},
		"item-policy":             config.Policy{},
		"item-release":            config.Release{},
		"item-progress":           config.Progress{},
		"item-stop":               config.VersionStop{},
		"item-flag":               flag.Flag{},
		"item-segment":            flag.Segment{},
	} {
		t.Run(name, func(t *testing.T) {
			goldenfile.Compare(t, name+".txt", strings.Join(jsonPathsOf(t, page), "\n")+"\n")
		})
	}
}

// TestWordsGolden compares the enum values and header names of the public interfaces with the golden file.
func TestWordsGolden(t *testing.T) {
	var listing strings.Builder
	section := func(name string, words ...string) {
		fmt.Fprintf(&listing, "%s: %s\n", name, strings.Join(words, " "))
	}
	section("verdict reason", stringsOf([]flag.Reason{flag.ReasonError, flag.ReasonOff, flag.ReasonPrerequisite, flag.ReasonTarget, flag.ReasonRule, flag.ReasonFallthrough,
		plan.ReasonPoolEmpty, plan.ReasonVersionBlocked, plan.ReasonPolicy, plan.ReasonSplitEmpty, plan.ReasonNoVersion})...)
	section("verdict error", stringsOf([]flag.ErrorCode{flag.FlagNotFound, flag.KeyMissing, flag.MalformedFlag})...)
	section("route class", stringsOf([]config.Class{config.ClassNonIdempotent, config.ClassIdempotent})...)
	section("release state", release.StateCanary, release.StateRamping, release.StateHolding, release.StateDone, release.StateRolledBack)
	section("plan as operators are told", stringsOf([]registry.RolloutStatus{registry.RolloutInProgress, registry.RolloutDone, registry.RolloutRolledBack})...)
	outcomes := schema.CallOutcome(0).Descriptor().Values()
	for i := range outcomes.Len() {
		section(fmt.Sprint("outcome ", outcomes.Get(i).Number()), dispatch.OutcomeName(schema.CallOutcome(outcomes.Get(i).Number())))
	}
	section("headers", dispatch.HeaderRequest, dispatch.HeaderDeadline, dispatch.HeaderOutcome, dispatch.HeaderVersion, dispatch.HeaderReason, dispatch.HeaderConfigRevision,
		dispatch.HeaderAttempts, dispatch.HeaderCaller, dispatch.HeaderToken, dispatch.HeaderRefused)
	goldenfile.Compare(t, "words.txt", listing.String())
}

// TestProbeGolden compares the responses of a running probe listener with the golden file. Unlike
// TestPageKeysGolden it also covers paths, status codes and pages that have no Go type of their own.
func TestProbeGolden(t *testing.T) {
	// The listener finds a free port; it is closed so that the probe listener can use it.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("finding a free port failed: %v", err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatalf("closing the listener at %s failed: %v", address, err)
	}
	ready := atomic.Bool{}
	environment := &daemon.Environment{Recorder: flightrecorder.New("", "golden", 4), Draining: &atomic.Bool{}}
	environment.AddPage("/page", func() any { return map[string]int{"own": 1} })
	environment.AddReadinessPath("/elsewhere")
	if err := environment.ServeProbes(address, func() daemon.Readiness { return daemon.Readiness{Ready: ready.Load(), Reason: "young"} }); err != nil {
		t.Fatalf("ServeProbes(%s) failed: %v", address, err)
	}
	var listing strings.Builder
	request := func(state string, paths ...string) {
		for _, path := range paths {
			fmt.Fprintf(&listing, "%s, %s: %s\n", state, path, describeResponse(t, "http://"+address+path))
		}
	}
	request("not ready", "/live", "/ready", "/elsewhere", "/process", "/page", "/journal", "/nowhere")
	ready.Store(true)
	request("ready", "/ready", "/elsewhere")
	environment.Draining.Store(true)
	request("draining", "/ready", "/elsewhere", "/live")
	goldenfile.Compare(t, "probe.txt", listing.String())
}

// describeResponse requests a page and returns its status code, content type and JSON paths, and the values of the
// keys that state readiness or an error.
func describeResponse(t *testing.T, url string) string {
	t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		t.Fatalf("GET %s failed: %v", url, err)
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("reading the response of %s failed: %v", url, err)
	}
	described := fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Content-Type"))
	var body map[string]any
	if json.Unmarshal(text, &body) == nil {
		paths := map[string]bool{}
		collectPaths("", body, paths)
		described += " " + strings.Join(sortedPaths(paths), "; ")
		for _, key := range []string{"defect", "reason", "ready"} {
			if value, has := body[key]; has {
				described += fmt.Sprintf("; %s=%v", key, value)
			}
		}
	}
	return described
}

// TestErrorResponsesGolden compares the HTTP status and the body of the response to each error code with the golden
// file.
func TestErrorResponsesGolden(t *testing.T) {
	var listing strings.Builder
	for _, code := range errs.Codes() {
		status, response := daemon.NewErrorResponse(errs.New(code, "detail"), "not-run", []string{"fault"})
		text, err := json.Marshal(response)
		if err != nil {
			t.Fatalf("encoding the response to error code %s failed: %v", code, err)
		}
		fmt.Fprintf(&listing, "%d %s\n", status, text)
	}
	goldenfile.Compare(t, "refusals.txt", listing.String())
}

// stringsOf converts values of a string type to strings.
func stringsOf[T ~string](values []T) []string {
	var texts []string
	for _, value := range values {
		texts = append(texts, string(value))
	}
	return texts
}

// jsonPathsOf encodes a value of page's type with every field set, and lists the path and the JSON type of each leaf
// of the encoding.
func jsonPathsOf(t *testing.T, page any) []string {
	t.Helper()
	value := reflect.New(reflect.TypeOf(page)).Elem()
	setAllFields(value, 0)
	text, err := json.Marshal(value.Interface())
	if err != nil {
		t.Fatalf("encoding a %T failed: %v", page, err)
	}
	var decoded any
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatalf("decoding the JSON of a %T failed: %v", page, err)
	}
	paths := map[string]bool{}
	collectPaths("", decoded, paths)
	return sortedPaths(paths)
}

// maxFillDepth bounds the depth to which setAllFields fills a recursive type.
const maxFillDepth = 8

// setAllFields sets every exported field to a value other than its zero value, so that omitempty hides no key.
func setAllFields(value reflect.Value, depth int) {
	if depth > maxFillDepth {
		return
	}
	switch target := value.Addr().Interface().(type) {
	case *time.Time:
		*target = time.Unix(1, 0).UTC()
		return
	case *json.RawMessage:
		*target = json.RawMessage(`"raw"`)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		setAllFields(value.Elem(), depth+1)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				setAllFields(value.Field(i), depth+1)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		setAllFields(value.Index(0), depth+1)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		setAllFields(key, depth+1)
		setAllFields(element, depth+1)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Interface:
		if value.NumMethod() == 0 {
			value.Set(reflect.ValueOf("*"))
		}
	case reflect.String:
		value.SetString("*")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(1)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(1.5)
	}
}

// collectPaths adds the path and the JSON type of every leaf of a decoded JSON value to paths.
func collectPaths(path string, value any, paths map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			collectPaths(strings.TrimPrefix(path+"."+key, "."), element, paths)
		}
	case []any:
		for _, element := range value {
			collectPaths(path+"[]", element, paths)
		}
	case string:
		paths[path+" string"] = true
	case bool:
		paths[path+" bool"] = true
	case float64:
		paths[path+" number"] = true
	default:
		paths[path+" null"] = true
	}
}

// sortedPaths returns the keys of paths in alphabetical order.
func sortedPaths(paths map[string]bool) []string {
	var list []string
	for path := range paths {
		list = append(list, path)
	}
	slices.Sort(list)
	return list
}
