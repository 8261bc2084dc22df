// Package golden_test holds golden lists of what operators, callers and workers see by name, where a
// list takes in more than one package. There is nothing here but tests.
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

// TestPageKeysGolden compares the JSON keys of every page and of every body that is sent to one with
// the golden lists. A renamed field without its tag would change a key in silence.
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
			goldenfile.Compare(t, name+".txt", strings.Join(keysOf(t, page), "\n")+"\n")
		})
	}
}

// TestWordsGolden compares the words that counts, verdicts and headers are made of with the golden list.
func TestWordsGolden(t *testing.T) {
	var listed strings.Builder
	section := func(name string, words ...string) {
		fmt.Fprintf(&listed, "%s: %s\n", name, strings.Join(words, " "))
	}
	section("verdict reason", textsOf([]flag.Reason{flag.ReasonError, flag.ReasonOff, flag.ReasonPrerequisite, flag.ReasonTarget, flag.ReasonRule, flag.ReasonFallthrough,
		plan.ReasonPoolEmpty, plan.ReasonVersionBlocked, plan.ReasonPolicy, plan.ReasonSplitEmpty, plan.ReasonNoVersion})...)
	section("verdict error", textsOf([]flag.ErrorCode{flag.FlagNotFound, flag.KeyMissing, flag.MalformedFlag})...)
	section("route class", textsOf([]config.Class{config.ClassNonIdempotent, config.ClassIdempotent})...)
	section("release state", release.StateCanary, release.StateRamping, release.StateHolding, release.StateDone, release.StateRolledBack)
	section("plan as operators are told", textsOf([]registry.RolloutStatus{registry.RolloutInProgress, registry.RolloutDone, registry.RolloutRolledBack})...)
	endings := schema.CallOutcome(0).Descriptor().Values()
	for i := range endings.Len() {
		section(fmt.Sprint("outcome ", endings.Get(i).Number()), dispatch.OutcomeName(schema.CallOutcome(endings.Get(i).Number())))
	}
	section("headers", dispatch.HeaderRequest, dispatch.HeaderDeadline, dispatch.HeaderOutcome, dispatch.HeaderVersion, dispatch.HeaderReason, dispatch.HeaderConfigRevision,
		dispatch.HeaderAttempts, dispatch.HeaderCaller, dispatch.HeaderToken, dispatch.HeaderRefused)
	goldenfile.Compare(t, "words.txt", listed.String())
}

// TestProbeGolden asks the probe listener itself, so that paths, statuses and the keys of pages without
// a type of their own are held too.
func TestProbeGolden(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := held.Addr().String()
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	ready := atomic.Bool{}
	frame := &daemon.Environment{Recorder: flightrecorder.New("", "golden", 4), Draining: &atomic.Bool{}}
	frame.AddPage("/page", func() any { return map[string]int{"own": 1} })
	frame.AddReadinessPath("/elsewhere")
	if err := frame.ServeProbes(address, func() daemon.Readiness { return daemon.Readiness{Ready: ready.Load(), Reason: "young"} }); err != nil {
		t.Fatal(err)
	}
	var listed strings.Builder
	ask := func(state string, paths ...string) {
		for _, path := range paths {
			fmt.Fprintf(&listed, "%s, %s: %s\n", state, path, asked(t, "http://"+address+path))
		}
	}
	ask("not ready", "/live", "/ready", "/elsewhere", "/process", "/page", "/journal", "/nowhere")
	ready.Store(true)
	ask("ready", "/ready", "/elsewhere")
	frame.Draining.Store(true)
	ask("draining", "/ready", "/elsewhere", "/live")
	goldenfile.Compare(t, "probe.txt", listed.String())
}

// asked gives a page's status, form and keys; of readiness also what it says.
func asked(t *testing.T, url string) string {
	t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // its error says nothing once the body is read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	said := fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Content-Type"))
	var body map[string]any
	if json.Unmarshal(text, &body) == nil {
		found := map[string]bool{}
		walk("", body, found)
		said += " " + strings.Join(sorted(found), "; ")
		for _, key := range []string{"defect", "reason", "ready"} {
			if value, has := body[key]; has {
				said += fmt.Sprintf("; %s=%v", key, value)
			}
		}
	}
	return said
}

// TestStatusOfRefusalGolden holds how an error is answered to callers and operators: the status of its
// kind, and the body's own words.
func TestStatusOfRefusalGolden(t *testing.T) {
	var listed strings.Builder
	for _, kind := range errs.Codes() {
		status, refusal := daemon.NewErrorResponse(errs.New(kind, "detail"), "not-run", []string{"fault"})
		text, err := json.Marshal(refusal)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&listed, "%d %s\n", status, text)
	}
	goldenfile.Compare(t, "refusals.txt", listed.String())
}

func textsOf[T ~string](words []T) []string {
	var texts []string
	for _, word := range words {
		texts = append(texts, string(word))
	}
	return texts
}

// keysOf encodes a value of which every field is set and lists the key paths of what came out, each with
// its JSON type.
func keysOf(t *testing.T, page any) []string {
	t.Helper()
	value := reflect.New(reflect.TypeOf(page)).Elem()
	fill(value, 0)
	text, err := json.Marshal(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	var decoded any
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	walk("", decoded, found)
	return sorted(found)
}

// depthMost ends the filling of types that hold themselves.
const depthMost = 8

// fill sets every exported field to what is not its zero value, so that no omitempty hides a key.
func fill(value reflect.Value, depth int) {
	if depth > depthMost {
		return
	}
	switch at := value.Addr().Interface().(type) {
	case *time.Time:
		*at = time.Unix(1, 0).UTC()
		return
	case *json.RawMessage:
		*at = json.RawMessage(`"raw"`)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), depth+1)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), depth+1)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), depth+1)
	case reflect.Map:
		key, held := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(held, depth+1)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, held)
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

// walk collects the paths of all leaves.
func walk(path string, value any, found map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, held := range value {
			walk(strings.TrimPrefix(path+"."+key, "."), held, found)
		}
	case []any:
		for _, held := range value {
			walk(path+"[]", held, found)
		}
	case string:
		found[path+" string"] = true
	case bool:
		found[path+" bool"] = true
	case float64:
		found[path+" number"] = true
	default:
		found[path+" null"] = true
	}
}

func sorted(found map[string]bool) []string {
	var paths []string
	for path := range found {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}
