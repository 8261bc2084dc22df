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

// modelGoldenFile has a line for each run of the model: its name, the digest of its trace, and totals that make a
// difference easier to read.
const modelGoldenFile = "testdata/golden/model.txt"

// The codes of actions in a trace, independent of their Go names.
const (
	modelCodeSend = iota + 1
	modelCodePersist
	modelCodeReply
	modelCodeReadReady
	modelCodeEnd
)

// modelTrace is a digest of all actions of the replicas in a run, in order, as numbers and length-prefixed bytes. Names of
// Go types, functions and fields are not part of it, so renaming them changes no digest.
type modelTrace struct {
	sum                             hash.Hash
	sends, persists, replies, reads int
}

func (d *modelTrace) number(values ...uint64) {
	for _, value := range values {
		d.sum.Write(binary.LittleEndian.AppendUint64(nil, value))
	}
}

func (d *modelTrace) text(values ...string) {
	for _, value := range values {
		d.number(uint64(len(value)))
		d.sum.Write([]byte(value))
	}
}

// message adds a message by its field numbers.
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
		t.Fatal("an action of an unknown kind")
	}
}

// end adds the state of every machine at the end of the run.
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
	d.text(m.breaches...)
}

// modelGoldenRuns are the recorded runs: drawn faults that lose no disk, and losses of disks and machines with the
// membership changes that repair them.
var modelGoldenRuns = []struct {
	name   string
	size   modelSize
	faults func() map[int]modelStrike
}{
	{"3 members, no fault", three, func() map[int]modelStrike { return nil }},
	{"5 members, no fault", five, func() map[int]modelStrike { return nil }},
	{"3 members, drawn 7", three, func() map[int]modelStrike { return withoutLoss(three, 7) }},
	{"3 members, drawn 30", three, func() map[int]modelStrike { return withoutLoss(three, 30) }},
	{"3 members, drawn 46", three, func() map[int]modelStrike { return withoutLoss(three, 46) }},
	{"3 members, drawn 59", three, func() map[int]modelStrike { return withoutLoss(three, 59) }},
	{"5 members, drawn 22", five, func() map[int]modelStrike { return withoutLoss(five, 22) }},
	{"5 members, drawn 32", five, func() map[int]modelStrike { return withoutLoss(five, 32) }},
	{"5 members, drawn 44", five, func() map[int]modelStrike { return withoutLoss(five, 44) }},
	{"5 members, drawn 48", five, func() map[int]modelStrike { return withoutLoss(five, 48) }},
	{"3 members, loss after repair", three, func() map[int]modelStrike {
		return map[int]modelStrike{20: lossAfterRepair(secondLosses[0], 0, secondLosses[1], 1)}
	}},
	{"5 members, loss after repair", five, func() map[int]modelStrike {
		return map[int]modelStrike{20: lossAfterRepair(secondLosses[1], 1, secondLosses[0], 3)}
	}},
	{"3 members, copies lost beside a learner", three, func() map[int]modelStrike {
		return map[int]modelStrike{11: withLearner(copiesLost(0))}
	}},
	{"5 members, all lose power in a repair", five, func() map[int]modelStrike {
		return map[int]modelStrike{repairFrom: strikeMember(modelFault{strike: wipeMember}, 2), repairFrom + 30: allLosePower}
	}},
}

// modelGoldenRun runs a run and returns its line.
func modelGoldenRun(t *testing.T, size modelSize, faults map[int]modelStrike) string {
	t.Helper()
	trace := &modelTrace{sum: sha256.New()}
	var played *model
	modelRun(size, func(m *model) {
		played = m
		m.onAction = func(replica *modelReplica, action Action) { trace.action(t, m, replica, action) }
	}, faults)
	trace.end(t, played)
	committed := uint64(0)
	for _, replica := range played.members {
		reached, _ := replica.Committed()
		committed = max(committed, reached)
	}
	return fmt.Sprintf("%s: %d messages, %d records, %d replies, %d reads, %d elections, committed %d, %d steps, %v, %d breaches",
		hex.EncodeToString(trace.sum.Sum(nil)), trace.sends, trace.persists, trace.replies, trace.reads,
		len(played.leaders), committed, played.steps, played.now.Round(time.Millisecond), len(played.breaches))
}

// A change without effect on behaviour alters no run of the model: the replicas send, write and answer the same at the
// same times as when the file was written. A refactoring leaves the file unchanged.
func TestGoldenModel(t *testing.T) {
	golden := modelGoldenLines(t)
	if len(golden) != len(modelGoldenRuns) {
		t.Errorf("%s has %d lines for %d runs", modelGoldenFile, len(golden), len(modelGoldenRuns))
	}
	for _, run := range modelGoldenRuns {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			want, known := golden[run.name]
			if !known {
				t.Fatalf("%s has no line for it", modelGoldenFile)
			}
			if got := modelGoldenRun(t, run.size, run.faults()); got != want {
				t.Errorf("its run differs:\n got %s\nwant %s", got, want)
			}
		})
	}
}

// modelGoldenLines reads the file's lines, by the names of the runs.
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
			t.Fatalf("%s has %q twice", modelGoldenFile, name)
		}
		lines[name] = rest
	}
	return lines
}
