package store

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
	"time"

	"google.golang.org/protobuf/proto"
)

// modelGoldenFile has a line for each run of the model: the name, the digest of the trace, and totals that make a
// difference easier to understand.
const modelGoldenFile = "testdata/golden/model.txt"

// These codes identify the kinds of actions in a trace. They do not depend on the Go names.
const (
	modelCodeSend = iota + 1
	modelCodePersist
	modelCodeReply
	modelCodeReadReady
	modelCodeEnd
)

// modelTrace computes a digest of all actions of the replicas in a run, in order, as numbers and length-prefixed bytes.
// Names of Go types, functions and fields are not part of it, so renaming them changes no digest.
type modelTrace struct {
	sum                             hash.Hash
	sends, persists, replies, reads int // number of actions of each kind
}

// number adds numbers.
func (d *modelTrace) number(values ...uint64) {
	for _, value := range values {
		d.sum.Write(binary.LittleEndian.AppendUint64(nil, value))
	}
}

// text adds strings, each after its length.
func (d *modelTrace) text(values ...string) {
	for _, value := range values {
		d.number(uint64(len(value)))
		d.sum.Write([]byte(value))
	}
}

// message adds the deterministic encoding of a message, which has field numbers instead of names.
func (d *modelTrace) message(t *testing.T, message proto.Message) {
	t.Helper()
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	d.text(string(bytes))
}

// action adds an action of a replica.
func (d *modelTrace) action(t *testing.T, m *model, replica *modelReplica, action Action) {
	t.Helper()
	d.number(uint64(m.now), uint64(replica.processRun))
	d.text(replica.name)
	switch typed := action.(type) {
	case Send:
		d.sends++
		d.number(modelCodeSend)
		d.text(typed.Message.From, typed.Message.To)
		d.message(t, typed.Message)
	case Persist:
		d.persists++
		replacesLog := uint64(0)
		if typed.ReplacesLog {
			replacesLog = 1
		}
		d.number(modelCodePersist, typed.WriteID, replacesLog)
		d.message(t, typed.Record)
	case Reply:
		d.replies++
		d.number(modelCodeReply)
		d.message(t, typed.Result)
	case ReadIndexReady:
		d.reads++
		d.number(modelCodeReadReady)
		d.message(t, typed.Result)
	default:
		t.Fatalf("the action %T has no code in the trace", action)
	}
}

// end adds the state of the model and of every machine at the end of the run.
func (d *modelTrace) end(t *testing.T, m *model) {
	t.Helper()
	d.number(modelCodeEnd, uint64(m.now), uint64(m.steps), uint64(m.serial))
	for _, term := range slices.Sorted(maps.Keys(m.leaders)) {
		d.number(term)
		d.text(m.leaders[term])
	}
	for _, replica := range m.members {
		committed, state := replica.Committed()
		d.text(replica.name)
		d.number(committed, replica.incarnation, uint64(replica.processRun))
		for _, item := range state.Items() {
			d.message(t, item)
		}
		for _, record := range replica.disk {
			d.message(t, record)
		}
	}
	d.text(m.violations...)
}

// modelGoldenRuns are the recorded runs: random faults without the loss of a disk, and losses of disks and machines with
// the membership changes that repair them. Each name is that of a line in modelGoldenFile.
var modelGoldenRuns = []struct {
	name   string
	size   modelSize
	faults func() map[int]modelInjection
}{
	{"3 members, no fault", threeMembers, func() map[int]modelInjection { return nil }},
	{"5 members, no fault", fiveMembers, func() map[int]modelInjection { return nil }},
	{"3 members, drawn 7", threeMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(threeMembers, 7) }},
	{"3 members, drawn 30", threeMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(threeMembers, 30) }},
	{"3 members, drawn 46", threeMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(threeMembers, 46) }},
	{"3 members, drawn 59", threeMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(threeMembers, 59) }},
	{"5 members, drawn 22", fiveMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(fiveMembers, 22) }},
	{"5 members, drawn 32", fiveMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(fiveMembers, 32) }},
	{"5 members, drawn 44", fiveMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(fiveMembers, 44) }},
	{"5 members, drawn 48", fiveMembers, func() map[int]modelInjection { return randomFaultsWithoutLoss(fiveMembers, 48) }},
	{"3 members, loss after repair", threeMembers, func() map[int]modelInjection {
		return map[int]modelInjection{20: lossAfterRepair(diskLosses[0], 0, diskLosses[1], 1)}
	}},
	{"5 members, loss after repair", fiveMembers, func() map[int]modelInjection {
		return map[int]modelInjection{20: lossAfterRepair(diskLosses[1], 1, diskLosses[0], 3)}
	}},
	{"3 members, copies lost beside a learner", threeMembers, func() map[int]modelInjection {
		return map[int]modelInjection{11: withLearner(copiesLost(0))}
	}},
	{"5 members, all lose power in a repair", fiveMembers, func() map[int]modelInjection {
		return map[int]modelInjection{repairFrom: injectInto(modelFault{inject: wipeMember}, 2), repairFrom + 30: allLosePower}
	}},
}

// runGoldenModel carries out a recorded run and returns its line in modelGoldenFile without the name.
func runGoldenModel(t *testing.T, size modelSize, faults map[int]modelInjection) string {
	t.Helper()
	trace := &modelTrace{sum: sha256.New()}
	var finished *model
	runModel(size, func(m *model) {
		finished = m
		m.onAction = func(replica *modelReplica, action Action) { trace.action(t, m, replica, action) }
	}, faults)
	trace.end(t, finished)
	committed := uint64(0)
	for _, replica := range finished.members {
		reached, _ := replica.Committed()
		committed = max(committed, reached)
	}
	return fmt.Sprintf("%s: %d messages, %d records, %d replies, %d reads, %d elections, committed %d, %d steps, %v, %d breaches",
		hex.EncodeToString(trace.sum.Sum(nil)), trace.sends, trace.persists, trace.replies, trace.reads,
		len(finished.leaders), committed, finished.steps, finished.now.Round(time.Millisecond), len(finished.violations))
}

// A refactoring changes no run of the model: the replicas send, write and answer the same at the same times as when the
// golden file was written.
func TestGoldenModelRunsAreUnchanged(t *testing.T) {
	golden := modelGoldenLines(t)
	if len(golden) != len(modelGoldenRuns) {
		t.Errorf("%s has %d lines, want %d, one for each run", modelGoldenFile, len(golden), len(modelGoldenRuns))
	}
	for _, run := range modelGoldenRuns {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			want, known := golden[run.name]
			if !known {
				t.Fatalf("%s has no line for the run %q", modelGoldenFile, run.name)
			}
			if got := runGoldenModel(t, run.size, run.faults()); got != want {
				t.Errorf("the run differs from the golden one:\n got %s\nwant %s", got, want)
			}
		})
	}
}

// modelGoldenLines returns the lines of modelGoldenFile by the names of their runs.
func modelGoldenLines(t *testing.T) map[string]string {
	t.Helper()
	content, err := os.ReadFile(modelGoldenFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(content)) {
		name, rest, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if _, twice := lines[name]; twice {
			t.Fatalf("%s has two lines for the run %q", modelGoldenFile, name)
		}
		lines[name] = rest
	}
	return lines
}
