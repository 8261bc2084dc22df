package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// The golden folders are data folders of members as an earlier release wrote them. Each release must be able to continue
// from the folders of the previous one, and the previous one from those of the new one, so the golden folders are never
// regenerated. In git their files end in .golden, since *.log is ignored.
//
//   - member-a, member-b, member-d: a core of the founders a, b and c, in which d has replaced c, during a rollout. The
//     log of a has a snapshot, entries after it, votes and a later term.
//   - born: a single founder with only its initial record.
//   - torn: the same founder later, with two records in one frame and a torn last frame.
const (
	goldenFolder = "testdata/golden"
	goldenSuffix = ".golden"
)

// dump writes a message as text by its field numbers, so that renaming a field does not change the text.
func dump(to *strings.Builder, indent string, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	var numbers []int
	for i := range fields.Len() {
		if message.Has(fields.Get(i)) {
			numbers = append(numbers, int(fields.Get(i).Number()))
		}
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		field := fields.ByNumber(protoreflect.FieldNumber(number))
		values := []protoreflect.Value{message.Get(field)}
		if field.IsList() {
			list := values[0].List()
			values = nil
			for i := range list.Len() {
				values = append(values, list.Get(i))
			}
		}
		for _, value := range values {
			switch value := value.Interface().(type) {
			case protoreflect.Message:
				fmt.Fprintf(to, "%s%d:\n", indent, number)
				dump(to, indent+"  ", value)
			case string:
				fmt.Fprintf(to, "%s%d: %q\n", indent, number, value)
			case []byte:
				fmt.Fprintf(to, "%s%d: %q\n", indent, number, value)
			default:
				fmt.Fprintf(to, "%s%d: %v\n", indent, number, value)
			}
		}
	}
	if unknown := message.GetUnknown(); len(unknown) > 0 {
		fmt.Fprintf(to, "%sunknown: %x\n", indent, unknown)
	}
}

// dumpRecords returns the text of records as in the golden .txt files.
func dumpRecords(records []*schema.Record) string {
	text := &strings.Builder{}
	for _, record := range records {
		fmt.Fprintln(text, "record")
		dump(text, "  ", record.ProtoReflect())
	}
	return text.String()
}

// Every record of the golden logs is read with the content that was written.
func TestGoldenRecordsAreRead(t *testing.T) {
	for _, name := range goldenFolders {
		t.Run(name, func(t *testing.T) {
			_, records, _ := openGolden(t, name)
			want, err := os.ReadFile(filepath.Join(goldenFolder, name+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			if got := dumpRecords(records); got != string(want) {
				t.Errorf("records of %s are\n%s\nwant\n%s", name, got, want)
			}
		})
	}
}

// goldenFrames parses a log file independently of the code under test. It returns the bodies of the frames, and the bytes
// after the last complete one.
func goldenFrames(t *testing.T, data []byte) (bodies [][]byte, rest []byte) {
	t.Helper()
	for len(data) >= 20 {
		if string(data[:4]) != "mhw1" {
			t.Fatalf("frame %d begins with %q, want \"mhw1\"", len(bodies)+1, data[:4])
		}
		length := int(binary.LittleEndian.Uint32(data[4:]))
		if len(data)-20 < length {
			break
		}
		if frameNumber := binary.LittleEndian.Uint64(data[8:]); frameNumber != uint64(len(bodies)+1) {
			t.Fatalf("frame has the number %d, want %d", frameNumber, len(bodies)+1)
		}
		sum := crc32.Update(crc32.ChecksumIEEE(data[4:16]), crc32.IEEETable, data[20:20+length])
		if sum != binary.LittleEndian.Uint32(data[16:]) {
			t.Fatalf("frame %d has the checksum %#x, want %#x", len(bodies)+1, binary.LittleEndian.Uint32(data[16:]), sum)
		}
		bodies, data = append(bodies, data[20:20+length]), data[20+length:]
	}
	return bodies, data
}

// The records of the golden logs are written as the same bytes again, so that the previous release can read what this
// one writes.
func TestGoldenFramesAreRewrittenUnchanged(t *testing.T) {
	for _, name := range goldenFolders {
		t.Run(name, func(t *testing.T) {
			for file, data := range readFolder(t, filepath.Join(goldenFolder, name), goldenSuffix) {
				bodies, rest := goldenFrames(t, data)
				if torn := name == "torn"; torn != (len(rest) > 0) || len(bodies) == 0 {
					t.Fatalf("%s has %d frames and %d bytes after them; want a frame or more, and bytes after them: %t",
						file, len(bodies), len(rest), torn)
				}
				folder := t.TempDir()
				log, _, err := Open(folder)
				if err != nil {
					t.Fatalf("Open of an empty folder = %v, want nil", err)
				}
				for _, body := range bodies {
					group := &schema.RecordGroup{}
					if err := proto.Unmarshal(body, group); err != nil {
						t.Fatal(err)
					}
					if err := log.Write(group.Records, false); err != nil {
						t.Fatalf("Write of %d golden records = %v, want nil", len(group.Records), err)
					}
				}
				if err := log.Close(); err != nil {
					t.Fatalf("Close after the golden records = %v, want nil", err)
				}
				written := readFolder(t, folder, "")
				if got := written["setup-000000000001.log"]; len(written) != 1 || !bytes.Equal(got, data[:len(data)-len(rest)]) {
					t.Errorf("%s is rewritten as %d bytes in the files %v, want the same %d bytes in one file",
						file, len(got), slices.Collect(maps.Keys(written)), len(data)-len(rest))
				}
			}
		})
	}
}

// The recorded steps write the files of the golden folders. A change that alters the behaviour of a member on purpose may
// replace this test's steps. The golden folders stay, since members in production have such folders.
func TestGoldenStepsWriteSameFiles(t *testing.T) {
	root := t.TempDir()
	writeGoldenCore(t, root)
	writeGoldenSingle(t, root)
	for _, name := range goldenFolders {
		t.Run(name, func(t *testing.T) {
			got := readFolder(t, filepath.Join(root, name), "")
			want := readFolder(t, filepath.Join(goldenFolder, name), goldenSuffix)
			if !maps.EqualFunc(got, want, bytes.Equal) {
				t.Errorf("the files written, %v, differ from the golden ones, %v, in name or content",
					slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
			}
		})
	}
}

// The records of a golden log restore the state of the member: its term and vote, the membership, every item with its
// versions, the tombstones, and the progress of the rollout.
func TestGoldenRecordsRestoreState(t *testing.T) {
	const items = "flag/release.shop 9.13 given 0 by ramp; progress/shop 9.13 given 0 by ramp; release/shop 3.9 given 0 by release; route/buy 3.1 given 0 by shop; " +
		"segment/old 3.4 given 8 by dropped-given deleted; segment/plain 3.11 given 0 by dropped-plain deleted; segment/testers 3.2 given 5 by given; service/shop 3.1 given 0 by shop"
	for _, want := range []struct {
		name                string
		incarnation         uint64
		founder             bool
		term, voted, length uint64
		votedFor            string
		members, items      string
	}{
		{"member-a", 11, true, 9, 9, 13, "a", "a/11 b/12 d/14 of 3 since 3.8", items},
		{"member-b", 12, true, 9, 9, 13, "a", "a/11 b/12 d/14 of 3 since 3.8", items},
		// This member installed a committed snapshot of a later term, in which it had not voted.
		{"member-d", 14, false, 9, 9, 13, "", "a/11 b/12 d/14 of 3 since 3.8", items},
		{"born", 21, true, 0, 0, 0, "", "l/0 of 1 since 0.0", ""},
		{"torn", 21, true, 1, 1, 2, "l", "l/21 of 1 since 1.0", "segment/one 1.1 given 0 by one; segment/two 1.2 given 0 by two"},
	} {
		t.Run(want.name, func(t *testing.T) {
			_, records, _ := openGolden(t, want.name)
			replica := NewReplica(goldenConfig(strings.TrimPrefix(want.name, "member-")), 0, records)
			if replica.incarnation != want.incarnation || replica.founder != want.founder {
				t.Errorf("replica restored from its log has incarnation %d, founder %t; want %d, %t", replica.incarnation, replica.founder, want.incarnation, want.founder)
			}
			if replica.term != want.term || replica.votedTerm != want.voted || replica.votedFor != want.votedFor || replica.sequence != want.length {
				t.Errorf("replica restored from its log has term %d, a vote for %q in term %d, sequence %d; want %d, %q, %d, %d",
					replica.term, replica.votedFor, replica.votedTerm, replica.sequence, want.term, want.votedFor, want.voted, want.length)
			}
			var members, stateItems []string
			for _, member := range replica.membership.Members {
				members = append(members, fmt.Sprintf("%s/%d", member.Id, member.Incarnation))
			}
			since := replica.membership.EffectiveFrom
			if got := fmt.Sprintf("%s of %d since %d.%d", strings.Join(members, " "), replica.membership.TargetSize, since.GetTerm(), since.GetSequence()); got != want.members {
				t.Errorf("membership = %q, want %q", got, want.members)
			}
			for _, key := range slices.Sorted(maps.Keys(replica.state)) {
				item := replica.state[key]
				text := fmt.Sprintf("%s/%s %d.%d given %d by %s", item.Kind, item.Name, item.Version.Term, item.Version.Sequence, item.OperatorVersion, item.ChangeId)
				if item.Deleted {
					text += " deleted"
				}
				stateItems = append(stateItems, text)
			}
			if got := strings.Join(stateItems, "; "); got != want.items {
				t.Errorf("items of the state are\n%s\nwant\n%s", got, want.items)
			}
			if strings.HasPrefix(want.name, "member-") {
				checkGoldenRelease(t, replica.state)
				checkGoldenOutcomes(t, replica)
			}
		})
	}
}

// checkGoldenRelease checks the plan, the progress and the flag of the rollout in the golden core.
func checkGoldenRelease(t *testing.T, state config.State) {
	t.Helper()
	compiled, faults := config.Compile(state, 13)
	if len(faults) > 0 {
		t.Fatalf("Compile of the golden state found the faults %v, want none", faults)
	}
	plan, progress := compiled.Releases["shop"], compiled.Progress["shop"]
	if plan == nil || plan.Service != "shop" || plan.Version != "2" || plan.Target != 50 || plan.Duration != 10*time.Minute || plan.Control != "go" || plan.Revision != 9 {
		t.Errorf("release plan = %+v, want service shop to version 2, target 50, duration 10m, control go, revision 9", plan)
	}
	want := config.Progress{ControllerTerm: 3, Controller: "a", PlanID: "shop 3", State: "ramp", Reason: "the version is known", Percentage: 25, Weight: 25000, Elapsed: int64(150 * time.Second), PreviousVersion: "1", StateSince: 7}
	if progress == nil || *progress != want {
		t.Errorf("rollout progress = %+v, want %+v", progress, want)
	}
	flag := compiled.Flags.Flags["release.shop"]
	if flag == nil || flag.Fallthrough.Rollout == nil || flag.Fallthrough.Rollout.Variations[0].Weight != 25000 {
		t.Errorf("flag release.shop = %+v, want a rollout with weight 25000 on the first variation", flag)
	}
}

// checkGoldenOutcomes checks the outcome of every change in the golden core, refused ones included.
func checkGoldenOutcomes(t *testing.T, replica *Replica) {
	t.Helper()
	for id, want := range map[string]string{
		"shop": "1 at 1", "given": "1 at 2", "plain": "1 at 3", "dropped-given": "1 at 4", "wrong": "2 at 5 segment.wrong", "late": "3 at 6 segment/plain 3",
		"members-3-7": "1 at 7", "members-3-8": "1 at 8", "release": "1 at 9", "trial": "1 at 10", "dropped-plain": "1 at 11", "stale": "4 at 12", "ramp": "1 at 13",
	} {
		outcome, known := replica.AppendedOutcome(id)
		if !known {
			t.Errorf("change %s has no outcome, want %q", id, want)
			continue
		}
		got := fmt.Sprintf("%d at %d", outcome.Ruling, outcome.Version.Sequence)
		for _, fault := range outcome.Faults {
			got += " " + fault.Path
		}
		for _, current := range outcome.Current {
			got += fmt.Sprintf(" %s/%s %d", current.Kind, current.Name, current.Sequence)
		}
		if got != want {
			t.Errorf("outcome of change %s = %q, want %q", id, got, want)
		}
	}
	if len(replica.outcomes) != 13 {
		t.Errorf("the replica has %d outcomes, want 13", len(replica.outcomes))
	}
}

// Members continue from the golden folders: they elect a leader in a later term, have the committed state, accept further
// changes, and can be restarted from what is on disk then.
func TestGoldenFoldersContinue(t *testing.T) {
	for _, test := range []struct {
		name         string
		folders      map[string]string // names of the golden folders, by member
		leader       string            // the member that must lead
		after        uint64            // lowest possible term of the first leader
		committedKey string            // key of an item that was committed; empty for none
	}{
		{"all members", map[string]string{"a": "member-a", "b": "member-b", "d": "member-d"}, "a", 10, "progress/shop"},
		{"members without the first one", map[string]string{"b": "member-b", "d": "member-d"}, "b", 10, "progress/shop"},
		{"single founder after its first start", map[string]string{"l": "born"}, "l", 1, ""},
		{"single founder with a torn frame", map[string]string{"l": "torn"}, "l", 2, "segment/two"},
	} {
		t.Run(test.name, func(t *testing.T) {
			root := t.TempDir()
			for name, folder := range test.folders {
				copyGolden(t, folder, filepath.Join(root, "member-"+name))
			}
			// The second run continues from the folders that the first one has written to.
			for run := 1; run <= 2; run++ {
				c := newGoldenCore(t, root)
				for _, name := range slices.Sorted(maps.Keys(test.folders)) {
					c.start(name, 0)
				}
				c.advance(8 * time.Second)
				for name, member := range c.members {
					if status := member.Status(); status.Leader != test.leader || status.Term < test.after {
						t.Fatalf("run %d: %s has leader %q in term %d, want %q in term %d or later",
							run, name, status.Leader, status.Term, test.leader, test.after)
					}
				}
				added := fmt.Sprint("added-", run)
				c.expectRuling(test.leader, schema.Ruling_RULING_ACCEPTED, changeExpecting(added, []*schema.Item{goldenItem("segment", added, 0, `{"salt":""}`)}))
				c.advance(time.Second)
				for name, member := range c.members {
					_, state := member.Committed()
					for _, key := range []string{test.committedKey, "segment/added-1", "segment/" + added} {
						if key != "" && state[key] == nil {
							t.Errorf("run %d: the committed state of %s lacks %s", run, name, key)
						}
					}
					if state["segment/torn"] != nil {
						t.Errorf("run %d: the committed state of %s has segment/torn, whose frame is torn", run, name)
					}
				}
				if test.committedKey == "progress/shop" {
					goldenCoreContinues(c, test.leader, run)
				}
				c.close()
			}
		})
	}
}

// goldenCoreContinues checks that changes are decided by the restored state: a tombstone blocks an outdated change, a
// change id keeps its first outcome, and a rollout controller of an earlier term is refused.
func goldenCoreContinues(c *goldenCore, leader string, run int) {
	c.t.Helper()
	older := fmt.Sprint("older-", run)
	c.expectRuling(leader, schema.Ruling_RULING_ACCEPTED, &schema.Change{Id: older, ByOperatorVersion: true, Items: []*schema.Item{goldenItem("segment", "old", 7, `{"salt":"o"}`)}})
	if _, state := c.members[leader].Committed(); !state["segment/old"].GetDeleted() || state["segment/old"].GetOperatorVersion() != 8 {
		c.t.Errorf("segment/old after an outdated change = %v, want a tombstone of operator version 8", state["segment/old"])
	}
	c.expectRuling(leader, schema.Ruling_RULING_CONFLICT, changeExpecting("late", []*schema.Item{goldenItem("segment", "late", 0, `{"salt":""}`)}))
	c.expectRuling(leader, schema.Ruling_RULING_STALE, changeExpecting(fmt.Sprint("stale-", run), []*schema.Item{goldenProgress(2, "back", 0, 0)}, c.sequenceOf(leader, "progress", "shop")))
	c.expectRuling(leader, schema.Ruling_RULING_ACCEPTED, changeExpecting(fmt.Sprint("on-", run), []*schema.Item{goldenProgress(3+run, "ramp", 30000, 200*time.Second)}, c.sequenceOf(leader, "progress", "shop")))
}

// copyGolden copies the files of a golden folder without their suffix, since opening a log may change it.
func copyGolden(t *testing.T, name, to string) {
	t.Helper()
	if err := os.MkdirAll(to, 0o750); err != nil {
		t.Fatal(err)
	}
	for file, data := range readFolder(t, filepath.Join(goldenFolder, name), goldenSuffix) {
		if err := os.WriteFile(filepath.Join(to, file), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// openGolden opens the log in a copy of a golden folder. It returns the log, its records and the path of the copy.
func openGolden(t *testing.T, name string) (*FileLog, []*schema.Record, string) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), name)
	copyGolden(t, name, folder)
	log, records, err := Open(folder)
	if err != nil {
		t.Fatalf("Open of a copy of the golden folder %s = %v, want nil", name, err)
	}
	t.Cleanup(func() { _ = log.Close() }) // records that the test wrote are durable already
	return log, records, folder
}

// goldenFolders are the names of the golden folders.
var goldenFolders = []string{"member-a", "member-b", "member-d", "born", "torn"}

// readFolder returns the contents of the files in a folder, by their names without the suffix.
func readFolder(t *testing.T, folder, suffix string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[strings.TrimSuffix(entry.Name(), suffix)] = data
	}
	return files
}
