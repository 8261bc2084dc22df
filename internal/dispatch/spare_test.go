package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// A worker that turns most calls of a route away is asked for some more than it takes, not for
// all; other routes are not held back by that, and with time it gets its calls back.
func TestShouldSkip(t *testing.T) {
	full := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}
	accepted := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}
	for name, test := range map[string]struct {
		answers []*schema.ForwardResponse
		route   string
		after   time.Duration
		random  float64
		want    bool
	}{
		"never refused":           {nil, "r", 0, 0, false},
		"one refusal says little": {[]*schema.ForwardResponse{full, full}, "r", 0, 0, false},
		"takes none":              {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 0, 0.5, true},
		"but is asked at times":   {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 0, 0.6, false},
		"takes half":              {[]*schema.ForwardResponse{full, accepted, full, accepted, full, accepted}, "r", 0, 0, false},
		"another route":           {[]*schema.ForwardResponse{full, full, full, full, full, full}, "other", 0, 0, false},
		"a while later":           {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 5 * time.Second, 0, false},
	} {
		s := NewOutlierDetector(5, 5*time.Second)
		for _, answer := range test.answers {
			s.RecordOffer("i", "r", time.Second, answer)
		}
		retryAfter, got := s.ShouldSkip("i", test.route, time.Second+test.after, func() float64 { return test.random })
		if got != test.want || (got && retryAfter <= 0) {
			t.Errorf("%s: %t, back in %s; want %t", name, got, retryAfter, test.want)
		}
	}
}

// What is asked settles at a multiple of what is taken, however much more there is to ask.
func TestShouldSkipConverges(t *testing.T) {
	full := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}
	accepted := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}
	s, rolled := NewOutlierDetector(5, 5*time.Second), 0.0
	random := func() float64 {
		rolled += 0.618
		rolled -= float64(int(rolled))
		return rolled
	}
	offered := 0
	// Of 100 calls a second the worker takes 10.
	for i := range 6000 {
		now := time.Duration(i) * 10 * time.Millisecond
		answer := full
		if i%10 == 0 {
			answer = accepted
		} else if _, spared := s.ShouldSkip("i", "r", now, random); spared {
			continue
		}
		offered++
		s.RecordOffer("i", "r", now, answer)
	}
	if a := float64(offered) / 60; a < 15 || a > 40 {
		t.Errorf("asked for %.1f a second, where it takes 10", a)
	}
}
