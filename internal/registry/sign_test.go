package registry

import (
	"testing"
	"time"

	"meadowhinge/internal/session"
)

// However news fall between beats, and though beats come a little early or late, nobody in session waits
// for longer than it was promised; and where there are no news, no sign comes before it is due.
func TestSignsAreNeverPutOff(t *testing.T) {
	beat, jitter := span/session.BeatParts, span/batchParts/4
	for _, beats := range []int{1, peerBeats} {
		promised := time.Duration(beats) * beat
		for offset := time.Duration(0); offset < promised; offset += beat / 7 {
			// News were told at offset, between two beats.
			at, told := time.Duration(0), offset
			for turn, signs := 1, 0; signs < 3; turn++ {
				at = time.Duration(turn)*beat + time.Duration(turn%3-1)*jitter
				if at < told || !signDue(at-told, promised, span) {
					continue
				}
				switch gap := at - told; {
				case gap > promised+2*jitter:
					t.Errorf("promised %v, news at %v: %v without a sign", promised, offset, gap)
				case signs > 0 && gap < promised-2*jitter:
					t.Errorf("promised %v, news at %v: a sign after %v already", promised, offset, gap)
				}
				told = at
				signs++
			}
		}
	}
}
