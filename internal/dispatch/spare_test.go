package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

// A worker that turns most calls of a route away is asked for some more than it takes, not for
// all; other routes are not held back by that, and with time it gets its calls back.
func TestSpares(t *testing.T) {
	full := &schema.Carried{Ending: schema.Ending_ENDING_NOT_RUN, Defect: string(defect.BufferFull)}
	taken := &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status: 200}
	for name, one := range map[string]struct {
		answers []*schema.Carried
		route   string
		after   time.Duration
		dice    float64
		want    bool
	}{
		"never refused":           {nil, "r", 0, 0, false},
		"one refusal says little": {[]*schema.Carried{full, full}, "r", 0, 0, false},
		"takes none":              {[]*schema.Carried{full, full, full, full, full, full}, "r", 0, 0.5, true},
		"but is asked at times":   {[]*schema.Carried{full, full, full, full, full, full}, "r", 0, 0.6, false},
		"takes half":              {[]*schema.Carried{full, taken, full, taken, full, taken}, "r", 0, 0, false},
		"another route":           {[]*schema.Carried{full, full, full, full, full, full}, "other", 0, 0, false},
		"a while later":           {[]*schema.Carried{full, full, full, full, full, full}, "r", 5 * time.Second, 0, false},
	} {
		s := NewSoundness(5, 5*time.Second)
		for _, answer := range one.answers {
			s.Asked("i", "r", time.Second, answer)
		}
		back, got := s.Spares("i", one.route, time.Second+one.after, func() float64 { return one.dice })
		if got != one.want || (got && back <= 0) {
			t.Errorf("%s: %t, back in %s; want %t", name, got, back, one.want)
		}
	}
}

// What is asked settles at a multiple of what is taken, however much more there is to ask.
func TestSparesSettles(t *testing.T) {
	full := &schema.Carried{Ending: schema.Ending_ENDING_NOT_RUN, Defect: string(defect.BufferFull)}
	taken := &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status: 200}
	s, rolled := NewSoundness(5, 5*time.Second), 0.0
	dice := func() float64 {
		rolled += 0.618
		rolled -= float64(int(rolled))
		return rolled
	}
	asked := 0
	// Of 100 calls a second the worker takes 10.
	for i := range 6000 {
		now := time.Duration(i) * 10 * time.Millisecond
		answer := full
		if i%10 == 0 {
			answer = taken
		} else if _, spared := s.Spares("i", "r", now, dice); spared {
			continue
		}
		asked++
		s.Asked("i", "r", now, answer)
	}
	if a := float64(asked) / 60; a < 15 || a > 40 {
		t.Errorf("asked for %.1f a second, where it takes 10", a)
	}
}
