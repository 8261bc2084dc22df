package store

import (
	"testing"

	"meadowhinge/schema"
)

// Whatever a log file contains, reading it returns complete groups in order or reports corruption; and what was read,
// when written again, reads the same.
func FuzzReadFrames(f *testing.F) {
	first, err := encodeFrame([]*schema.Record{{VotedTerm: 3, VotedFor: "a"}}, 1)
	if err != nil {
		f.Fatal(err)
	}
	second, err := encodeFrame([]*schema.Record{{Term: 3, Entries: []*schema.Entry{{Version: &schema.Version{Term: 3, Sequence: 1}}}}}, 2)
	if err != nil {
		f.Fatal(err)
	}
	both := append(append([]byte{}, first...), second...)
	bothAndFirst := append(append([]byte{}, both...), first...)
	for _, seed := range [][]byte{nil, first, both, both[:len(both)-3], bothAndFirst, second, []byte(frameMagic)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		groups, size, corrupt := readFrames(data)
		if corrupt && len(groups) > 0 || size > len(data) {
			t.Fatalf("corrupt %t with %d groups in %d of %d bytes", corrupt, len(groups), size, len(data))
		}
		var again []byte
		for index, group := range groups {
			written, err := encodeFrame(group.Records, uint64(index+1))
			if err != nil {
				t.Fatal(err)
			}
			again = append(again, written...)
		}
		if read, _, _ := readFrames(again); len(read) != len(groups) {
			t.Fatalf("%d groups were rewritten, %d read", len(groups), len(read))
		}
	})
}
