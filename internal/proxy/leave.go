package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/defect"
)

// Ratios to the time that SIGTERM leaves.
const (
	takePart  = 0.65 // in which calls are still taken, if they go on coming
	quietPart = 8    // of the notice: without a call for so long, none is thought to come any more
	workPart  = 0.5  // of the notice, in which workers here still get work: what they have at hand ends within the rest
	tickParts = 64   // how often it is looked at
	lastParts = 32   // before the end, by which every call has its answer
)

// stage is how far a proxy is with its leaving.
type stage int

const (
	taking  stage = iota // all is served as before, but each connection is given back with its answer
	closing              // no call is taken any more, those taken are brought to their end
	over
)

// leaving is when a proxy that was told to end goes from one stage to the next.
type leaving struct {
	notice time.Duration // until callers have surely noticed
	work   time.Duration // until the workers here get no more work
	drain  time.Duration // until it must be over
	quiet  time.Duration
}

func leavingOf(notice, drain time.Duration) leaving {
	least := min(notice, time.Duration(takePart*float64(drain)))
	return leaving{notice: least, work: time.Duration(workPart * float64(least)), drain: drain, quiet: notice / quietPart}
}

// next gives the stage at a time since the proxy was told to end, by when the last call came
// and how many are in flight. A stage is never gone back from.
func (l leaving) next(now stage, at, lastCame time.Duration, inFlight int64) stage {
	switch {
	case at >= l.drain:
		return over
	case now == closing && inFlight == 0:
		return over
	case now == taking && (at >= time.Duration(takePart*float64(l.drain)) || (at >= l.notice && inFlight == 0 && at-lastCame >= l.quiet)):
		return closing
	}
	return now
}

// parts tells whether the workers here get no more work, so long after the proxy was told to end.
func (l leaving) parts(at time.Duration) bool { return at >= l.work }

// came notes a call; only one that is told to end looks at it.
func (s *Server) came() {
	if s.draining.Load() {
		s.lastCame.Store(int64(s.now()))
	}
}

// within is how long a call may take that asks for so long, 0 for not said: one that is taken while
// the proxy ends has its answer, whatever it is, before the connections are closed.
func within(asked, overAt, now, drain time.Duration) time.Duration {
	if overAt <= 0 {
		return asked
	}
	left := max(1, overAt-drain/lastParts-now)
	if asked <= 0 {
		return left
	}
	return min(asked, left)
}

// drain brings this proxy to its end, in the time that settings allow.
func (s *Server) drain(outward []*front, beside *fasthttp.Server) error {
	told := s.now()
	way := leavingOf(time.Duration(s.given().Notice), time.Duration(s.given().Drain))
	s.overAt.Store(int64(told + way.drain))
	if len(outward) == 0 {
		way.notice, way.work, way.quiet = 0, 0, 0
	}
	// Workers here are told as leaving while there is time for other proxies to send elsewhere, but not
	// before: callers are let in all that while, and the workers' room is missed.
	parted := false
	ticker := time.NewTicker(max(time.Millisecond, time.Duration(s.given().Drain)/tickParts))
	defer ticker.Stop()
	await := func(from stage) stage {
		for {
			if !parted && way.parts(s.now()-told) {
				parted = true
				s.workers.LeaveAll()
			}
			inFlight := s.calls.Load() + s.hops.Load()
			if reached := way.next(from, s.now()-told, time.Duration(s.lastCame.Load())-told, inFlight); reached != from {
				return reached
			}
			<-ticker.C
		}
	}
	now := await(taking)
	s.farewell()
	s.closing.Store(true)
	ended := make(chan struct{})
	defer time.AfterFunc(way.drain-(s.now()-told), func() { close(ended) }).Stop()
	var first error
	for _, one := range outward {
		if !one.finish(ended) && first == nil {
			first = defect.New(defect.Draining, "calls still in flight at the end of the drain time")
		}
	}
	if now == closing {
		await(closing)
		// The last answers may just be on their way out.
		<-ticker.C
	}
	_ = beside.Shutdown()
	return first
}
