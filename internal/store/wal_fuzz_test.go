package store

import (
	"testing"

	"meadowhinge/schema"
)

// Whatever a log file contains, readFrames returns complete groups in order or reports corruption. Groups that were read
// are read again after they are rewritten.
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
			t.Fatalf("readFrames returned %d groups in %d of %d bytes, corrupt: %t; want no groups if corrupt, and no more bytes than there are",
				len(groups), size, len(data), corrupt)
		}
		var rewritten []byte
		for index, group := range groups {
			written, err := encodeFrame(group.Records, uint64(index+1))
			if err != nil {
				t.Fatal(err)
			}
			rewritten = append(rewritten, written...)
		}
		if read, _, _ := readFrames(rewritten); len(read) != len(groups) {
			t.Fatalf("readFrames returned %d groups of the rewritten file, want %d", len(read), len(groups))
		}
	})
}
