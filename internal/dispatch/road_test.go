package dispatch

import (
	"strings"
	"testing"
	"time"
)

// What is written waits behind what was written before, and leaves at the link's rate.
func TestRoad(t *testing.T) {
	now := time.Duration(0)
	road := NewRoad(1000, func() time.Duration { return now })
	for _, one := range []struct {
		at      time.Duration
		carried int
		want    time.Duration
	}{
		{0, 0, 0},
		{0, 460, 500 * ms},
		{0, 460, time.Second},
		{400 * ms, 0, 600 * ms},
		{2 * time.Second, 0, 0},
		// Two packets, each with its head.
		{2 * time.Second, 1920, 2 * time.Second},
	} {
		now = one.at
		road.Carry(one.carried)
		if got := road.Wait(); got != one.want {
			t.Errorf("at %s with %d bytes more: %s, want %s", one.at, one.carried, got, one.want)
		}
	}
	for _, none := range []*Road{NewRoad(0, nil), nil} {
		none.Carry(1 << 30)
		if none.Wait() != 0 || none.Span(1<<30) != 0 {
			t.Error("a link of unknown rate is full")
		}
	}
}

// A buffer hands over no more than its machine's link carries answers away: what waits, waits
// where who is worth more goes first, and who would come too late is told at once.
func TestBufferOverRoad(t *testing.T) {
	for name, one := range map[string]struct {
		rate  int64
		steps func(p *play, road *Road)
		want  string
	}{
		// An answer takes 5 ms on the link and the work 10: two keep it busy, one more hides the way.
		"link short": {200_000, func(p *play, _ *Road) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				p.arrive(name, 0, 0, time.Second)
			}
			p.end(Answered)
		}, "a goes, b goes, c goes, d goes"},
		"by rank": {200_000, func(p *play, _ *Road) {
			for _, name := range []string{"a", "b", "c"} {
				p.arrive(name, 0, 0, time.Second)
			}
			p.arrive("d", 2, 0, time.Second)
			p.arrive("e", 0, 0, time.Second)
			p.end(Answered)
		}, "a goes, b goes, c goes, e goes"},
		"link wide": {200_000_000, func(p *play, _ *Road) {
			for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
				p.arrive(name, 0, 0, time.Second)
			}
		}, "a goes, b goes, c goes, d goes, e goes, f goes"},
		// 50 ms of other bytes are on the link already; one goes all the same, to give the next their turn.
		"link filled by others": {200_000, func(p *play, road *Road) {
			road.Carry(9720)
			p.arrive("a", 0, 0, time.Second)
			p.arrive("b", 0, 0, time.Second)
			p.arrive("c", 0, 60*ms, time.Second)
		}, "a goes, c BUFFER_FULL 3.333333ms"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t)
			road := NewRoad(one.rate, func() time.Duration { return p.now })
			p.buffer = NewBuffer(8, 8).leaving(road)
			p.buffer.learn(p.now, "r", 10*ms)
			p.buffer.Left(960)
			one.steps(p, road)
			if got := strings.Join(p.told, ", "); got != one.want {
				t.Errorf("%s, want %s", got, one.want)
			}
		})
	}
}
