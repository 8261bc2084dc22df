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
	historyAsk
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
	historyAway
	historyDisk
	historyEnd
	historySent
	historyOutcome
)

// calls takes in every call with every asking for it, as its caller saw it, and every run of it, as
// its worker did.
func (d historyDigest) calls(t *testing.T, h *History) {
	t.Helper()
	for _, id := range sortedOps(h.ops) {
		one := h.ops[id]
		d.number(historyCall)
		d.text(one.id, one.caller, one.service, one.path)
		d.flags(one.once, one.keyed)
		d.times(one.opened)
		for _, entry := range one.asks {
			d.number(historyAsk)
			d.text(entry.proxy.name, entry.outcome)
			d.times(entry.sent, entry.got)
			if ended := entry.ended; ended != nil {
				d.text(ended.ID, string(errs.CodeOf(ended.Err)))
				d.number(uint64(ended.Attempts), uint64(ended.WorkerAttempts))
				if ended.Response != nil {
					d.message(t, ended.Response)
				}
				if made := ended.Plan; made != nil {
					d.number(historyPlan, made.Verdict.ConfigRevision, uint64(len(made.Candidates)))
					d.text(made.Service, made.Verdict.Flag, made.Verdict.Version, string(made.Verdict.Reason), made.Verdict.RuleID, string(made.Verdict.Error), made.Verdict.Evaluated)
					d.times(made.Deadline, made.LatencyTarget)
				}
			}
		}
		for _, run := range one.runs {
			d.number(historyRun, uint64(run.ask))
			d.text(run.worker.name, run.request)
			d.times(run.at, run.ended)
		}
	}
}

// world takes in what is left of a world when its run is over: what was decided, what was shown by
// whom, what disks hold, and where the dice and the counters stand.
func (d historyDigest) world(t *testing.T, w *World) {
	t.Helper()
	h := w.History
	for _, one := range w.faults {
		d.number(historyFault)
		d.text(one.name)
		d.times(one.from, one.to)
	}
	for _, one := range h.yeses {
		d.number(historyAcknowledged, one.setup)
		d.times(one.at)
	}
	for _, name := range slices.Sorted(maps.Keys(h.shown)) {
		d.text(name)
		for _, one := range h.shown[name] {
			d.number(historyShown, one.setup)
			d.times(one.at)
		}
	}
	for _, sequence := range slices.Sorted(maps.Keys(h.orders)) {
		d.number(historyOrder, sequence)
		d.text(h.orders[sequence])
	}
	for _, id := range slices.Sorted(maps.Keys(h.rulings)) {
		d.number(historyRuling, uint64(h.rulings[id]))
		d.text(id)
	}
	for _, token := range slices.Sorted(maps.Keys(h.left)) {
		d.number(historyLeft)
		d.text(token)
		d.times(h.left[token])
	}
	for _, service := range slices.Sorted(maps.Keys(h.extras)) {
		d.number(historyExtra)
		d.text(service)
		d.times(slices.Sorted(slices.Values(h.extras[service]))...)
	}
	for _, bad := range h.bad {
		d.number(historyBad, uint64(bad.all), uint64(bad.its), uint64(bad.failures))
		d.text(bad.service, bad.version)
		d.times(bad.fiftieth, bad.last, bad.late)
	}
	d.breaches(h.Breaches)
	for _, cause := range slices.Sorted(maps.Keys(h.Away)) {
		d.number(historyAway, uint64(h.Away[cause]))
		d.text(cause)
	}
	for _, node := range w.seats {
		d.number(historyDisk, node.incarnation, uint64(node.life), uint64(node.syncs))
		d.text(node.name)
		for _, record := range node.disk {
			d.message(t, record)
		}
	}
	d.number(historyEnd, uint64(h.Decisions), uint64(h.Touched), uint64(h.Asked), uint64(h.Answered), uint64(h.Runs), uint64(h.Repeats), uint64(h.Yeses), uint64(h.Refusals),
		uint64(h.Unsent), uint64(h.Tombstones), uint64(h.Purges), uint64(h.HeldCalls), uint64(h.Left))
	// Where callers leave, goroutines that wake at one moment race for who hangs up first: which events
	// the world has for it, and what proxies count of it, is not the same in each run.
	if w.Options.Leaving == 0 {
		d.number(h.Print, w.order, uint64(w.serial), w.dice.Uint64())
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
	if w.Options.Leaving == 0 {
		events = fmt.Sprintf("%d events, ", w.order)
	}
	return fmt.Sprintf("calls %s rest %s: %s%d asked, %d answered, %d runs, %d acknowledged, %d refused, %d held, %d left, epoch %d, %d faults, %d breaches",
		calls, rest, events, h.Asked, h.Answered, h.Runs, h.Yeses, h.Refusals, h.HeldCalls, h.Left, historyEpoch(w), len(w.faults), len(h.Breaches))
}

// historyEpoch is the highest epoch under which anything was led: how many elections there were.
func historyEpoch(w *World) (highest uint64) {
	for _, node := range w.seats {
		highest = max(highest, node.seat.Status().Term)
	}
	return highest
}

// historyPlay plays a seed as TestSeeds and its kin do.
func historyPlay(seed uint64, options Options) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		return historyOfWorld(t, Play(seed, PlantNone, options))
	}
}

// historyCore plays a core alone: founding, joining, replacing, losing of disks.
func historyCore(seed uint64, options CoreOptions) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		w := PlayCore(seed, PlantNone, options)
		d := newHistoryDigest()
		d.world(t, w.World)
		for _, change := range w.sent {
			d.number(historySent)
			d.message(t, change)
		}
		for _, name := range slices.Sorted(maps.Keys(w.yes)) {
			d.number(historyAcknowledged, w.yes[name], w.issued[name])
			d.text(name)
		}
		d.number(historyEnd, uint64(w.Yeses), uint64(w.Reads), uint64(w.Replaced), uint64(w.Repeats))
		return fmt.Sprintf("core %s: %d events, %d changes sent, %d acknowledged, %d refused, %d reads, %d replaced, %d repeats, epoch %d, %d breaches",
			d, w.order, len(w.sent), w.Yeses, w.History.Refusals, w.Reads, w.Replaced, w.Repeats, historyEpoch(w.World), len(w.History.Breaches))
	}
}

// historyBrake plays a version that comes in one of the ways that the brake is tried with. Only what
// came of it is told by the play; historyRelease looks at a whole history.
func historyBrake(seed uint64, name string) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		place := slices.IndexFunc(Kinds, func(kind Kind) bool { return kind.Name == name })
		if place < 0 {
			t.Fatalf("there is no kind %q", name)
		}
		got := PlayBrake(seed, Kinds[place], PlantNone, 5)
		d := newHistoryDigest()
		d.number(historyOutcome, uint64(got.All), uint64(got.Its), uint64(got.Failed), uint64(got.Held))
		d.times(got.Took)
		d.flags(got.Back)
		d.text(got.State, got.WhyStopped)
		d.breaches(got.Breaches)
		return fmt.Sprintf("outcome %s: %d calls, %d of them its, %d failed, took %d ns, back %t, %d held, state %q, %q, %d breaches",
			d, got.All, got.Its, got.Failed, got.Took, got.Back, got.Held, got.State, got.WhyStopped, len(got.Breaches))
	}
}

// historyTerm plays the order of a version with a term.
func historyTerm(seed uint64, start string) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		place := slices.IndexFunc(TermKinds, func(kind TermKind) bool { return strings.HasPrefix(kind.Name, start) })
		if place < 0 {
			t.Fatalf("there is no kind that starts with %q", start)
		}
		got := PlayTerm(seed, TermKinds[place])
		d := newHistoryDigest()
		d.number(historyOutcome, uint64(got.Its), uint64(got.All), uint64(got.Bad), uint64(got.Lost))
		d.times(got.At)
		d.flags(got.Late)
		d.text(got.State)
		d.breaches(got.Breaches)
		return fmt.Sprintf("outcome %s: %d calls, %d of them its, %d bad, %d lost, state %q at %d ns, late %t, %d breaches",
			d, got.All, got.Its, got.Bad, got.Lost, got.State, got.At, got.Late, len(got.Breaches))
	}
}

// historyRelease brings a bad version in, by a plan or by an order in a serving world, and looks at
// the whole history, which the plays of the brake and of terms keep to themselves.
func historyRelease(seed uint64, options Options, ordered bool) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		w := NewWorld(seed, PlantNone, options)
		w.begin()
		w.Run(w.now + 5*time.Second)
		w.faults = append(w.faults, &faultEntry{name: "a version goes wrong", from: w.now, costs: true})
		if ordered {
			w.insist(func() {}, &schema.Item{Kind: "service", Name: "shop", Body: []byte(`{"callers":["client","saves"]}`)},
				&schema.Item{Kind: "flag", Name: "release.shop", Deleted: true})
			w.Run(w.now + 4*time.Second)
			w.place(release.RolloutOrder{Service: "shop", Version: "2", Within: 12 * time.Second}, func() {})
		} else {
			w.insist(func() {}, planned("shop", 60, 20*time.Second))
		}
		w.sicken("shop", "2", &Illness{From: w.now + 6*time.Second, Fails: 0.5})
		w.Run(w.now + 25*time.Second)
		w.Close()
		w.History.close()
		return historyOfWorld(t, w)
	}
}

// historyRuns are the runs whose histories are held fast: each kind of world and of play.
var historyRuns = []struct {
	name string
	play func(t *testing.T) string
}{
	{"mesh 1", historyPlay(1, Options{Length: 25 * time.Second})},
	{"mesh 2, with a plan", historyPlay(2, Options{Length: 25 * time.Second})},
	{"mesh 4, with a bad version", historyPlay(4, Options{Length: 25 * time.Second})},
	{"mesh 3, nothing that costs", historyPlay(3, Options{Length: 25 * time.Second, Free: true})},
	{"serving 1", historyPlay(1, Options{Length: 25 * time.Second, Serving: true})},
	{"serving 4, with a bad version", historyPlay(4, Options{Length: 25 * time.Second, Serving: true})},
	{"leaving 1, calm", historyPlay(1, Options{Quiet: true, Leaving: 0.3, Work: 100 * time.Millisecond, Length: 15 * time.Second})},
	{"leaving 2, faults", historyPlay(2, Options{Leaving: 0.3, Work: 100 * time.Millisecond, Length: 15 * time.Second})},
	{"core 1, 3 seats", historyCore(1, CoreOptions{Seats: 3, Losses: 1})},
	{"core 2, 3 seats", historyCore(2, CoreOptions{Seats: 3, Losses: 1})},
	{"core 1, 5 seats", historyCore(1, CoreOptions{Seats: 5, Losses: 2})},
	{"core 2, 5 seats", historyCore(2, CoreOptions{Seats: 5, Losses: 2})},
	{"release 1, planned", historyRelease(1, Options{Proxies: 5, Rate: 60, Quiet: true}, false)},
	{"release 2, ordered", historyRelease(2, Options{Proxies: 5, Rate: 60, Quiet: true, Serving: true, Bound: true, Work: 20 * time.Millisecond}, true)},
	{"brake 1, planned", historyBrake(1, "bad late, at a high share")},
	{"brake 1, by hand, core split", historyBrake(1, "by hand at 100 %, bad late, the core split")},
	{"term 1, errors, duty killed", historyTerm(1, "errors, duty killed")},
	{"term 1, good, herd killed", historyTerm(1, "good, herd killed")},
}

// A change that should alter no behaviour alters no history: each run gives the very events, times,
// answers and disks that it gave when the file was written. A refactoring leaves the file as it is.
func TestGoldenHistories(t *testing.T) {
	golden := historyLines(t)
	if len(golden) != len(historyRuns) {
		t.Errorf("%s has %d lines for %d runs", historyFile, len(golden), len(historyRuns))
	}
	for _, one := range historyRuns {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			want, known := golden[one.name]
			if !known {
				t.Fatalf("%s has no line for it", historyFile)
			}
			var got string
			synctest.Test(t, func(t *testing.T) { got = one.play(t) })
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
