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

// The golden folders are the data folders of members as an earlier release wrote them. A release must go on from the
// folder of the one before, and the other way round, so they are never written anew. Under git their files end in .golden,
// as *.log is ignored there.
//
//   - member-a, member-b, member-d: a core of founders a, b and c, where d replaced c. It has a rollout under way, and
//     the log of a has a snapshot, entries after it, votes and a later term.
//   - born: a single founder with its initial record only.
//   - torn: that founder later, with two records in one frame and a torn last frame.
const (
	goldenFolder = "testdata/golden"
	goldenSuffix = ".golden"
)

// dump writes a message by its field numbers, so that no renaming shows in it.
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

func dumpRecords(records []*schema.Record) string {
	text := &strings.Builder{}
	for _, record := range records {
		fmt.Fprintln(text, "record")
		dump(text, "  ", record.ProtoReflect())
	}
	return text.String()
}

// Every record of the golden logs is read with the contents that it was written with.
func TestGoldenRecords(t *testing.T) {
	for _, name := range goldenFolders {
		t.Run(name, func(t *testing.T) {
			_, records, _ := openGolden(t, name)
			want, err := os.ReadFile(filepath.Join(goldenFolder, name+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			if got := dumpRecords(records); got != string(want) {
				t.Errorf("records are\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// goldenFrames parses a log file by its bytes alone, without the code under test.
func goldenFrames(t *testing.T, data []byte) (bodies [][]byte, rest []byte) {
	t.Helper()
	for len(data) >= 20 {
		if string(data[:4]) != "mhw1" {
			t.Fatalf("a frame begins with %q", data[:4])
		}
		length := int(binary.LittleEndian.Uint32(data[4:]))
		if len(data)-20 < length {
			break
		}
		if frameNumber := binary.LittleEndian.Uint64(data[8:]); frameNumber != uint64(len(bodies)+1) {
			t.Fatalf("frame %d has the number %d", len(bodies)+1, frameNumber)
		}
		sum := crc32.Update(crc32.ChecksumIEEE(data[4:16]), crc32.IEEETable, data[20:20+length])
		if sum != binary.LittleEndian.Uint32(data[16:]) {
			t.Fatalf("frame %d has another checksum", len(bodies)+1)
		}
		bodies, data = append(bodies, data[20:20+length]), data[20+length:]
	}
	return bodies, data
}

// The same records are written as the same bytes, so that the release before can read what this one writes.
func TestGoldenFrames(t *testing.T) {
	for _, name := range goldenFolders {
		t.Run(name, func(t *testing.T) {
			for file, data := range readFolder(t, filepath.Join(goldenFolder, name), goldenSuffix) {
				bodies, rest := goldenFrames(t, data)
				if torn := name == "torn"; torn != (len(rest) > 0) || len(bodies) == 0 {
					t.Fatalf("%s has %d frames and %d bytes more", file, len(bodies), len(rest))
				}
				folder := t.TempDir()
				disk, _, err := Open(folder)
				if err != nil {
					t.Fatal(err)
				}
				for _, body := range bodies {
					group := &schema.RecordGroup{}
					if err := proto.Unmarshal(body, group); err != nil {
						t.Fatal(err)
					}
					if err := disk.Write(group.Records, false); err != nil {
						t.Fatal(err)
					}
				}
				if err := disk.Close(); err != nil {
					t.Fatal(err)
				}
				written := readFolder(t, folder, "")
				if got := written["setup-000000000001.log"]; len(written) != 1 || !bytes.Equal(got, data[:len(data)-len(rest)]) {
					t.Errorf("%s is rewritten as %d bytes in %v, want %d",
						file, len(got), slices.Collect(maps.Keys(written)), len(data)-len(rest))
				}
			}
		})
	}
}

// The same steps write the same files. A change that alters on purpose what a member does may replace the steps here; the
// golden folders stay, since members in use have such folders.
func TestGoldenSteps(t *testing.T) {
	root := t.TempDir()
	writeGoldenCore(t, root)
	writeGoldenLone(t, root)
	for _, name := range goldenFolders {
		t.Run(name, func(t *testing.T) {
			got := readFolder(t, filepath.Join(root, name), "")
			want := readFolder(t, filepath.Join(goldenFolder, name), goldenSuffix)
			if !maps.EqualFunc(got, want, bytes.Equal) {
				t.Errorf("%v are written, and differ from the golden %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
			}
		})
	}
}

// The state that a member's records restore: its term and vote, the membership, every item with its versions, the
// tombstones, and the progress of the rollout.
func TestGoldenReplica(t *testing.T) {
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
		// It installed committed state of a later term, in which it had not voted.
		{"member-d", 14, false, 9, 9, 13, "", "a/11 b/12 d/14 of 3 since 3.8", items},
		{"born", 21, true, 0, 0, 0, "", "l/0 of 1 since 0.0", ""},
		{"torn", 21, true, 1, 1, 2, "l", "l/21 of 1 since 1.0", "segment/one 1.1 given 0 by one; segment/two 1.2 given 0 by two"},
	} {
		t.Run(want.name, func(t *testing.T) {
			_, records, _ := openGolden(t, want.name)
			s := NewReplica(goldenConfig(strings.TrimPrefix(want.name, "member-")), 0, records)
			if s.incarnation != want.incarnation || s.founder != want.founder {
				t.Errorf("incarnation %d, founder %t", s.incarnation, s.founder)
			}
			if s.term != want.term || s.votedTerm != want.voted || s.votedFor != want.votedFor || s.sequence != want.length {
				t.Errorf("term %d, voted for %q in %d, sequence %d", s.term, s.votedFor, s.votedTerm, s.sequence)
			}
			var members, stateItems []string
			for _, member := range s.membership.Members {
				members = append(members, fmt.Sprintf("%s/%d", member.Id, member.Incarnation))
			}
			since := s.membership.EffectiveFrom
			if got := fmt.Sprintf("%s of %d since %d.%d", strings.Join(members, " "), s.membership.TargetSize, since.GetTerm(), since.GetSequence()); got != want.members {
				t.Errorf("members are %q, want %q", got, want.members)
			}
			for _, key := range slices.Sorted(maps.Keys(s.state)) {
				item := s.state[key]
				text := fmt.Sprintf("%s/%s %d.%d given %d by %s", item.Kind, item.Name, item.Version.Term, item.Version.Sequence, item.OperatorVersion, item.ChangeId)
				if item.Deleted {
					text += " deleted"
				}
				stateItems = append(stateItems, text)
			}
			if got := strings.Join(stateItems, "; "); got != want.items {
				t.Errorf("items are\n%s\nwant\n%s", got, want.items)
			}
			if strings.HasPrefix(want.name, "member-") {
				checkGoldenRelease(t, s.state)
				checkGoldenOutcomes(t, s)
			}
		})
	}
}

// checkGoldenRelease checks the state of the rollout that is under way.
func checkGoldenRelease(t *testing.T, state config.State) {
	t.Helper()
	compiled, faults := config.Compile(state, 13)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	plan, progress := compiled.Releases["shop"], compiled.Progress["shop"]
	if plan == nil || plan.Service != "shop" || plan.Version != "2" || plan.Target != 50 || plan.Duration != 10*time.Minute || plan.Control != "go" || plan.Revision != 9 {
		t.Errorf("the plan is %+v", plan)
	}
	want := config.Progress{ControllerTerm: 3, Controller: "a", PlanID: "shop 3", State: "ramp", Reason: "the version is known", Percentage: 25, Weight: 25000, Elapsed: int64(150 * time.Second), PreviousVersion: "1", StateSince: 7}
	if progress == nil || *progress != want {
		t.Errorf("the progress is %+v, want %+v", progress, want)
	}
	decider := compiled.Flags.Flags["release.shop"]
	if decider == nil || decider.Fallthrough.Rollout == nil || decider.Fallthrough.Rollout.Variations[0].Weight != 25000 {
		t.Errorf("the flag is %+v", decider)
	}
}

// checkGoldenOutcomes checks the outcome of every change, refused ones included.
func checkGoldenOutcomes(t *testing.T, s *Replica) {
	t.Helper()
	for id, want := range map[string]string{
		"shop": "1 at 1", "given": "1 at 2", "plain": "1 at 3", "dropped-given": "1 at 4", "wrong": "2 at 5 segment.wrong", "late": "3 at 6 segment/plain 3",
		"members-3-7": "1 at 7", "members-3-8": "1 at 8", "release": "1 at 9", "trial": "1 at 10", "dropped-plain": "1 at 11", "stale": "4 at 12", "ramp": "1 at 13",
	} {
		outcome, known := s.AppendedOutcome(id)
		if !known {
			t.Errorf("%s has no outcome", id)
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
			t.Errorf("%s has the outcome %q, want %q", id, got, want)
		}
	}
	if len(s.outcomes) != 13 {
		t.Errorf("%d outcomes are known, want 13", len(s.outcomes))
	}
}

// Members go on from the golden folders: they elect a leader in a later term, have the committed state, accept further
// changes, and can be restarted from what is then on disk.
func TestGoldenFoldersContinue(t *testing.T) {
	for _, test := range []struct {
		name         string
		folders      map[string]string // by member
		leader       string
		after        uint64 // lowest term of the first leader
		committedKey string // an item that was committed
	}{
		{"core", map[string]string{"a": "member-a", "b": "member-b", "d": "member-d"}, "a", 10, "progress/shop"},
		{"without a", map[string]string{"b": "member-b", "d": "member-d"}, "b", 10, "progress/shop"},
		{"born", map[string]string{"l": "born"}, "l", 1, ""},
		{"torn", map[string]string{"l": "torn"}, "l", 2, "segment/two"},
	} {
		t.Run(test.name, func(t *testing.T) {
			root := t.TempDir()
			for name, folder := range test.folders {
				copyGolden(t, folder, filepath.Join(root, "member-"+name))
			}
			// The second run goes on from what the first has added.
			for run := 1; run <= 2; run++ {
				c := newGoldenCore(t, root)
				for _, name := range slices.Sorted(maps.Keys(test.folders)) {
					c.start(name, 0)
				}
				c.advance(8 * time.Second)
				for name, member := range c.members {
					if status := member.Status(); status.Leader != test.leader || status.Term < test.after {
						t.Fatalf("run %d: %s knows %q as the leader, in term %d", run, name, status.Leader, status.Term)
					}
				}
				added := fmt.Sprint("added-", run)
				c.expectRuling(test.leader, schema.Ruling_RULING_ACCEPTED, expecting(added, []*schema.Item{goldenItem("segment", added, 0, `{"salt":""}`)}))
				c.advance(time.Second)
				for name, member := range c.members {
					_, state := member.Committed()
					for _, key := range []string{test.committedKey, "segment/added-1", "segment/" + added} {
						if key != "" && state[key] == nil {
							t.Errorf("run %d: %s has lost %s", run, name, key)
						}
					}
					if state["segment/torn"] != nil {
						t.Errorf("run %d: the torn record is in the state", run)
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

// goldenCoreContinues checks that the restored state still governs changes: a tombstone bars older orders, a change id has
// its first outcome, and a rollout controller of an earlier term is refused.
func goldenCoreContinues(c *goldenCore, leader string, run int) {
	c.t.Helper()
	older := fmt.Sprint("older-", run)
	c.expectRuling(leader, schema.Ruling_RULING_ACCEPTED, &schema.Change{Id: older, ByOperatorVersion: true, Items: []*schema.Item{goldenItem("segment", "old", 7, `{"salt":"o"}`)}})
	if _, state := c.members[leader].Committed(); !state["segment/old"].GetDeleted() || state["segment/old"].GetOperatorVersion() != 8 {
		c.t.Errorf("an older order brought back %v", state["segment/old"])
	}
	c.expectRuling(leader, schema.Ruling_RULING_CONFLICT, expecting("late", []*schema.Item{goldenItem("segment", "late", 0, `{"salt":""}`)}))
	c.expectRuling(leader, schema.Ruling_RULING_STALE, expecting(fmt.Sprint("stale-", run), []*schema.Item{goldenProgress(2, "back", 0, 0)}, c.sequenceOf(leader, "progress", "shop")))
	c.expectRuling(leader, schema.Ruling_RULING_ACCEPTED, expecting(fmt.Sprint("on-", run), []*schema.Item{goldenProgress(3+run, "ramp", 30000, 200*time.Second)}, c.sequenceOf(leader, "progress", "shop")))
}

// copyGolden copies a golden folder, as opening a log may change it.
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

func openGolden(t *testing.T, name string) (*FileLog, []*schema.Record, string) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), name)
	copyGolden(t, name, folder)
	disk, records, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = disk.Close() }) // what the test wrote is durable already
	return disk, records, folder
}

var goldenFolders = []string{"member-a", "member-b", "member-d", "born", "torn"}

// readFolder reads a folder's files, by their names without a suffix.
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
