package simulator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// historyFile holds one line for each run: its name, the digest of its history, and totals that make
// a difference easier to read.
const historyFile = "testdata/golden/histories.txt"

// historyDigest takes in what happened, as numbers and length-prefixed strings. Names of Go types,
// functions and fields never go in, so that renaming them changes no digest.
type historyDigest struct{ sum hash.Hash }

func newHistoryDigest() historyDigest { return historyDigest{sha256.New()} }

func (d historyDigest) number(values ...uint64) {
	for _, value := range values {
		d.sum.Write(binary.LittleEndian.AppendUint64(nil, value))
	}
}

func (d historyDigest) times(values ...time.Duration) {
	for _, value := range values {
		d.number(uint64(value))
	}
}

func (d historyDigest) flags(values ...bool) {
	for _, value := range values {
		bit := uint64(0)
		if value {
			bit = 1
		}
		d.number(bit)
	}
}

func (d historyDigest) text(values ...string) {
	for _, value := range values {
		d.number(uint64(len(value)))
		d.sum.Write([]byte(value))
	}
}

// message takes in a message by its field numbers, not by its names.
func (d historyDigest) message(t *testing.T, message proto.Message) {
	t.Helper()
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	d.text(string(bytes))
}

func (d historyDigest) String() string { return hex.EncodeToString(d.sum.Sum(nil)) }

// The codes of what is taken in: they stand for kinds of event, whatever these are called in Go.
const (
	historyCall = iota + 1
	historyAttempt
	historyPlan
	historyRun
	historyFault
	historyAcknowledged
	historyShown
	historyOrder
	historyRuling
	historyLeft
	historyExtra
	historyBad
	historyBreach
	historyRejected
	historyDisk
	historyEnd
	historySent
	historyOutcome
)

// calls takes in every call with every asking for it, as its caller saw it, and every run of it, as
// its worker did.
func (d historyDigest) calls(t *testing.T, h *History) {
	t.Helper()
	for _, id := range sortedOperationIDs(h.operations) {
		operation := h.operations[id]
		d.number(historyCall)
		d.text(operation.id, operation.caller, operation.service, operation.path)
		d.flags(operation.nonIdempotent, operation.keyed)
		d.times(operation.startedAt)
		for _, attempt := range operation.attempts {
			d.number(historyAttempt)
			d.text(attempt.proxy.name, attempt.outcome)
			d.times(attempt.sentAt, attempt.finishedAt)
			if result := attempt.result; result != nil {
				d.text(result.ID, string(errs.CodeOf(result.Err)))
				d.number(uint64(result.Attempts), uint64(result.WorkerAttempts))
				if result.Response != nil {
					d.message(t, result.Response)
				}
				if callPlan := result.Plan; callPlan != nil {
					d.number(historyPlan, callPlan.Verdict.ConfigRevision, uint64(len(callPlan.Candidates)))
					d.text(callPlan.Service, callPlan.Verdict.Flag, callPlan.Verdict.Version, string(callPlan.Verdict.Reason),
						callPlan.Verdict.RuleID, string(callPlan.Verdict.Error), callPlan.Verdict.Evaluated)
					d.times(callPlan.Deadline, callPlan.LatencyTarget)
				}
			}
		}
		for _, run := range operation.runs {
			d.number(historyRun, uint64(run.attemptNumber))
			d.text(run.worker.name, run.requestID)
			d.times(run.at, run.endedAt)
		}
	}
}

// world takes in what is left of a world when its run is over: what was decided, what was shown by
// whom, what disks hold, and where the dice and the counters stand.
func (d historyDigest) world(t *testing.T, w *World) {
	t.Helper()
	h := w.History
	for _, entry := range w.faults {
		d.number(historyFault)
		d.text(entry.name)
		d.times(entry.startedAt, entry.endedAt)
	}
	for _, entry := range h.acknowledgements {
		d.number(historyAcknowledged, entry.revision)
		d.times(entry.at)
	}
	for _, name := range slices.Sorted(maps.Keys(h.shownRevisions)) {
		d.text(name)
		for _, entry := range h.shownRevisions[name] {
			d.number(historyShown, entry.revision)
			d.times(entry.at)
		}
	}
	for _, sequence := range slices.Sorted(maps.Keys(h.contentBySequence)) {
		d.number(historyOrder, sequence)
		d.text(h.contentBySequence[sequence])
	}
	for _, id := range slices.Sorted(maps.Keys(h.rulings)) {
		d.number(historyRuling, uint64(h.rulings[id]))
		d.text(id)
	}
	for _, token := range slices.Sorted(maps.Keys(h.departedAt)) {
		d.number(historyLeft)
		d.text(token)
		d.times(h.departedAt[token])
	}
	for _, service := range slices.Sorted(maps.Keys(h.retryTimes)) {
		d.number(historyExtra)
		d.text(service)
		d.times(slices.Sorted(slices.Values(h.retryTimes[service]))...)
	}
	for _, bad := range h.badVersions {
		d.number(historyBad, uint64(bad.serviceCalls), uint64(bad.versionCalls), uint64(bad.failures))
		d.text(bad.service, bad.version)
		d.times(bad.failureLimitAt, bad.lastCallAt, bad.lateCallAt)
	}
	d.breaches(h.Breaches)
	for _, cause := range slices.Sorted(maps.Keys(h.Rejections)) {
		d.number(historyRejected, uint64(h.Rejections[cause]))
		d.text(cause)
	}
	for _, node := range w.members {
		d.number(historyDisk, node.incarnation, uint64(node.processRun), uint64(node.syncsStarted))
		d.text(node.name)
		for _, record := range node.disk {
			d.message(t, record)
		}
	}
	d.number(historyEnd, uint64(h.Decisions), uint64(h.InTouchDecisions), uint64(h.Attempts), uint64(h.Answered), uint64(h.WorkerRuns), uint64(h.AnsweredRetries), uint64(h.Acknowledgements), uint64(h.RefusedChanges),
		uint64(h.Unsent), uint64(h.MaxTombstones), uint64(h.Purges), uint64(h.BlockedCalls), uint64(h.CancelledCalls))
	// Where callers leave, goroutines that wake at one moment race for who hangs up first: which events
	// the world has for it, and what proxies count of it, is not the same in each run.
	if w.Options.CallerCancelRate == 0 {
		d.number(h.EventHash, w.lastEventSequence, uint64(w.lastID), w.random.Uint64())
	}
}

func (d historyDigest) breaches(breaches map[string][]string) {
	for _, rule := range slices.Sorted(maps.Keys(breaches)) {
		d.number(historyBreach)
		d.text(rule)
		d.text(breaches[rule]...)
	}
}

// historyOfWorld gives the line of a run of a whole mesh.
func historyOfWorld(t *testing.T, w *World) string {
	t.Helper()
	calls, rest := newHistoryDigest(), newHistoryDigest()
	calls.calls(t, w.History)
	rest.world(t, w)
	h := w.History
	events := ""
	if w.Options.CallerCancelRate == 0 {
		events = fmt.Sprintf("%d events, ", w.lastEventSequence)
	}
	return fmt.Sprintf("calls %s rest %s: %s%d asked, %d answered, %d runs, %d acknowledged, %d refused, %d held, %d left, epoch %d, %d faults, %d breaches",
		calls, rest, events, h.Attempts, h.Answered, h.WorkerRuns, h.Acknowledgements, h.RefusedChanges, h.BlockedCalls, h.CancelledCalls, historyHighestTerm(w), len(w.faults), len(h.Breaches))
}

// historyHighestTerm is the highest epoch under which anything was led: how many elections there were.
func historyHighestTerm(w *World) (highest uint64) {
	for _, node := range w.members {
		highest = max(highest, node.replica.Status().Term)
	}
	return highest
}

// historyMesh plays a seed as TestSeeds and its kin do.
func historyMesh(seed uint64, options Options) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		return historyOfWorld(t, RunMesh(seed, SeededNone, options))
	}
}

// historyCore plays a core alone: founding, joining, replacing, losing of disks.
func historyCore(seed uint64, options CoreOptions) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		w := RunCore(seed, SeededNone, options)
		d := newHistoryDigest()
		d.world(t, w.World)
		for _, change := range w.sentChanges {
			d.number(historySent)
			d.message(t, change)
		}
		for _, name := range slices.Sorted(maps.Keys(w.acknowledgedVersions)) {
			d.number(historyAcknowledged, w.acknowledgedVersions[name], w.issuedVersions[name])
			d.text(name)
		}
		d.number(historyEnd, uint64(w.Acknowledgements), uint64(w.Reads), uint64(w.Replacements), uint64(w.Resends))
		return fmt.Sprintf("core %s: %d events, %d changes sent, %d acknowledged, %d refused, %d reads, %d replaced, %d repeats, epoch %d, %d breaches",
			d, w.lastEventSequence, len(w.sentChanges), w.Acknowledgements, w.History.RefusedChanges, w.Reads, w.Replacements, w.Resends, historyHighestTerm(w.World), len(w.History.Breaches))
	}
}

// historyRollback plays a version that comes in one of the ways that the brake is tried with. Only what
// came of it is told by the play; historyRelease looks at a whole history.
func historyRollback(seed uint64, name string) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		index := slices.IndexFunc(RollbackScenarios, func(kind RollbackScenario) bool { return kind.Name == name })
		if index < 0 {
			t.Fatalf("there is no kind %q", name)
		}
		got := RunRollback(seed, RollbackScenarios[index], SeededNone, 5)
		d := newHistoryDigest()
		d.number(historyOutcome, uint64(got.ServiceCalls), uint64(got.VersionCalls), uint64(got.FailedCalls), uint64(got.BlockedCalls))
		d.times(got.ExposureTime)
		d.flags(got.RolledBack)
		d.text(got.State, got.StopReason)
		d.breaches(got.Breaches)
		return fmt.Sprintf("outcome %s: %d calls, %d of them its, %d failed, took %d ns, back %t, %d held, state %q, %q, %d breaches",
			d, got.ServiceCalls, got.VersionCalls, got.FailedCalls, got.ExposureTime, got.RolledBack, got.BlockedCalls, got.State, got.StopReason, len(got.Breaches))
	}
}

// historyVersionOrder plays the order of a version with a term.
func historyVersionOrder(seed uint64, start string) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		index := slices.IndexFunc(OrderScenarios, func(kind OrderScenario) bool { return strings.HasPrefix(kind.Name, start) })
		if index < 0 {
			t.Fatalf("there is no kind that starts with %q", start)
		}
		got := RunOrder(seed, OrderScenarios[index])
		d := newHistoryDigest()
		d.number(historyOutcome, uint64(got.VersionCalls), uint64(got.ServiceCalls), uint64(got.BadCalls), uint64(got.LostCalls))
		d.times(got.ReachedAfter)
		d.flags(got.HasLateCall)
		d.text(got.State)
		d.breaches(got.Breaches)
		return fmt.Sprintf("outcome %s: %d calls, %d of them its, %d bad, %d lost, state %q at %d ns, late %t, %d breaches",
			d, got.ServiceCalls, got.VersionCalls, got.BadCalls, got.LostCalls, got.State, got.ReachedAfter, got.HasLateCall, len(got.Breaches))
	}
}

// historyRelease brings a bad version in, by a plan or by an order in a serving world, and looks at
// the whole history, which the plays of the brake and of terms keep to themselves.
func historyRelease(seed uint64, options Options, ordered bool) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		w := NewWorld(seed, SeededNone, options)
		w.bootFleet()
		w.Run(w.now + 5*time.Second)
		w.faults = append(w.faults, &faultRecord{name: "a version goes wrong", startedAt: w.now, mayReject: true})
		if ordered {
			w.submitUntilAccepted(func() {}, &schema.Item{
				Kind: "service",
				Name: "shop",
				Body: []byte(`{"callers":["client","saves"]}`),
			},
				&schema.Item{Kind: "flag", Name: "release.shop", Deleted: true})
			w.Run(w.now + 4*time.Second)
			w.submitOrder(release.RolloutOrder{Service: "shop", Version: "2", Within: 12 * time.Second}, func() {})
		} else {
			w.submitUntilAccepted(func() {}, releasePlanItem("shop", 60, 20*time.Second))
		}
		w.degradeVersion("shop", "2", &Degradation{From: w.now + 6*time.Second, FailureRate: 0.5})
		w.Run(w.now + 25*time.Second)
		w.Close()
		w.History.checkAtEnd()
		return historyOfWorld(t, w)
	}
}

// historyRuns are the runs whose histories are held fast: each kind of world and of play.
var historyRuns = []struct {
	name string
	play func(t *testing.T) string
}{
	{"mesh 1", historyMesh(1, Options{FaultyDuration: 25 * time.Second})},
	{"mesh 2, with a plan", historyMesh(2, Options{FaultyDuration: 25 * time.Second})},
	{"mesh 4, with a bad version", historyMesh(4, Options{FaultyDuration: 25 * time.Second})},
	{"mesh 3, nothing that costs", historyMesh(3, Options{FaultyDuration: 25 * time.Second, HarmlessFaultsOnly: true})},
	{"serving 1", historyMesh(1, Options{FaultyDuration: 25 * time.Second, ServeStale: true})},
	{"serving 4, with a bad version", historyMesh(4, Options{FaultyDuration: 25 * time.Second, ServeStale: true})},
	{"leaving 1, calm", historyMesh(1, Options{
		NoFaults:         true,
		CallerCancelRate: 0.3,
		MeanServiceTime:  100 * time.Millisecond,
		FaultyDuration:   15 * time.Second,
	})},
	{"leaving 2, faults", historyMesh(2, Options{
		CallerCancelRate: 0.3,
		MeanServiceTime:  100 * time.Millisecond,
		FaultyDuration:   15 * time.Second,
	})},
	{"core 1, 3 seats", historyCore(1, CoreOptions{Members: 3, MaxLosses: 1})},
	{"core 2, 3 seats", historyCore(2, CoreOptions{Members: 3, MaxLosses: 1})},
	{"core 1, 5 seats", historyCore(1, CoreOptions{Members: 5, MaxLosses: 2})},
	{"core 2, 5 seats", historyCore(2, CoreOptions{Members: 5, MaxLosses: 2})},
	{"release 1, planned", historyRelease(1, Options{Proxies: 5, CallRate: 60, NoFaults: true}, false)},
	{"release 2, ordered", historyRelease(2, Options{
		Proxies:         5,
		CallRate:        60,
		NoFaults:        true,
		ServeStale:      true,
		BoundExposure:   true,
		MeanServiceTime: 20 * time.Millisecond,
	}, true)},
	{"brake 1, planned", historyRollback(1, "bad late, at a high share")},
	{"brake 1, by hand, core split", historyRollback(1, "by hand at 100 %, bad late, the core split")},
	{"term 1, errors, duty killed", historyVersionOrder(1, "errors, duty killed")},
	{"term 1, good, herd killed", historyVersionOrder(1, "good, herd killed")},
}

// A change that should alter no behaviour alters no history: each run gives the very events, times,
// answers and disks that it gave when the file was written. A refactoring leaves the file as it is.
func TestGoldenHistories(t *testing.T) {
	golden := historyLines(t)
	if len(golden) != len(historyRuns) {
		t.Errorf("%s has %d lines for %d runs", historyFile, len(golden), len(historyRuns))
	}
	for _, run := range historyRuns {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			want, known := golden[run.name]
			if !known {
				t.Fatalf("%s has no line for it", historyFile)
			}
			var got string
			synctest.Test(t, func(t *testing.T) { got = run.play(t) })
			if got != want {
				t.Errorf("its history differs:\n got %s\nwant %s", got, want)
			}
		})
	}
}

// historyLines reads the file, by the names of the runs.
func historyLines(t *testing.T) map[string]string {
	t.Helper()
	content, err := os.ReadFile(historyFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(content)) {
		name, rest, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if _, twice := lines[name]; twice {
			t.Fatalf("%s has %q twice", historyFile, name)
		}
		lines[name] = rest
	}
	return lines
}
