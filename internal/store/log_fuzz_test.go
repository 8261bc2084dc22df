package store

import (
	"testing"

	"meadowhinge/schema"
)

// Whatever a file holds after a loss of power, reading it gives whole groups in their order or says
// that it is rotten; what was read, written again, is read alike.
func FuzzReadFrames(f *testing.F) {
	first, err := frame([]*schema.Record{{VotedEpoch: 3, VotedFor: "a"}}, 1)
	if err != nil {
		f.Fatal(err)
	}
	second, err := frame([]*schema.Record{{Epoch: 3, Entries: []*schema.Entry{{Version: &schema.Version{Epoch: 3, Sequence: 1}}}}}, 2)
	if err != nil {
		f.Fatal(err)
	}
	whole := append(append([]byte{}, first...), second...)
	for _, seed := range [][]byte{nil, first, whole, whole[:len(whole)-3], append(append([]byte{}, whole...), first...), second, []byte(frameMark)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		groups, size, rotten := readFrames(data)
		if rotten && len(groups) > 0 || size > len(data) {
			t.Fatalf("rotten %t with %d groups in %d of %d bytes", rotten, len(groups), size, len(data))
		}
		var again []byte
		for place, group := range groups {
			written, err := frame(group.Records, uint64(place+1))
			if err != nil {
				t.Fatal(err)
			}
			again = append(again, written...)
		}
		if read, _, _ := readFrames(again); len(read) != len(groups) {
			t.Fatalf("%d groups were written again, %d read", len(groups), len(read))
		}
	})
}
