package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// carrying is a carrier whose dispatches end as a test says, one after the other.
type carrying struct {
	*Carrier
	sent   []string // instances, in the order in which they were tried
	waited int      // how often news was waited for
}

// ends makes a dispatch end in a way.
type ends func(ctx context.Context, carry *schema.Carry) (*schema.Carried, error)

func refusing(kind defect.Kind, back time.Duration, met bool) ends {
	return func(_ context.Context, carry *schema.Carry) (*schema.Carried, error) {
		return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_NOT_RUN, Defect: string(kind), BackNanos: int64(back), Met: met}, nil
	}
}

func failing(_ context.Context, carry *schema.Carry) (*schema.Carried, error) {
	return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_ANSWERED, Status: 500}, nil
}

// failingOf tells of how many calls the worker failed how many.
func failingOf(ran, failed uint32) ends {
	return func(_ context.Context, carry *schema.Carry) (*schema.Carried, error) {
		return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_ANSWERED, Status: 500, Slots: 9, Ran: ran, Failed: failed}, nil
	}
}

func answering(_ context.Context, carry *schema.Carry) (*schema.Carried, error) {
	return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_ANSWERED, Status: 200}, nil
}

func breaking(context.Context, *schema.Carry) (*schema.Carried, error) {
	return nil, defect.New(defect.LinkLost, "cut")
}

func unopened(context.Context, *schema.Carry) (*schema.Carried, error) {
	return nil, defect.New(defect.LinkUnopened, "nobody there")
}

func hanging(ctx context.Context, _ *schema.Carry) (*schema.Carried, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// startCarrying makes a carrier with so many workers of a service, and a route of a class to it.
func startCarrying(t *testing.T, workers int, route string, floor float64, script ...ends) *carrying {
	t.Helper()
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Sequence: 1}}
	}
	state := setup.State{}.With([]*schema.Item{item("service", "shop", `{"versions":["1"],"fallback":"1"}`),
		item("route", "r", `{"service":"shop","prefix":"/","horizon":"3200ms",`+route+`}`)})
	compiled, faults := setup.Compile(state, 1)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	view := &plan.View{Setup: compiled, Directory: plan.Directory{"shop": {"1": {}}}}
	for i := range workers {
		view.Directory["shop"]["1"] = append(view.Directory["shop"]["1"], plan.Candidate{Instance: fmt.Sprint("w", i), Proxy: fmt.Sprint("p", i), Address: "127.0.0.1:1"})
	}
	began := time.Now()
	c := &carrying{}
	c.Carrier = (&Carrier{Name: "q", Incarnation: 1, Bounds: Bounds{Options: plan.Options{HorizonMost: 10 * time.Second}, ExtraFloor: floor}, View: func() *plan.View { return view },
		AwaitView:  func(ctx context.Context, _ func(*plan.View) bool) { c.waited++; <-ctx.Done() },
		AwaitLease: func(context.Context) bool { return true }, Lagging: func() {}, Leased: func() bool { return true }, Members: func() int { return 1 },
		Now: func() time.Duration { return time.Since(began) }, Dice: func() float64 { return 0 }, Soundness: NewSoundness(5, 5*time.Second),
		Trials: NewTrials(TrialDefaults, func() int { return 1 }, func() Guards { return stated{} }), Tally: NewTally(64), Patient: true, ByArrival: true,
		SendOn: func(ctx context.Context, candidate plan.Candidate, carry *schema.Carry) (*schema.Carried, error) {
			at := len(c.sent)
			c.sent = append(c.sent, candidate.Instance)
			return script[min(at, len(script)-1)](ctx, carry)
		}}).Start(16)
	return c
}

// Looking for a first worker is free; going to a second costs of the fleet's budget, and a once
// request goes to none after it may have run.
func TestWhoIsTriedNext(t *testing.T) {
	const repeatable, once = `"class":"repeatable"`, `"class":"once"`
	full := refusing(defect.BufferFull, 0, false)
	wait := refusing(defect.BufferFull, 9*time.Millisecond, false)
	turned := refusing(defect.BufferFull, 0, true)
	for name, one := range map[string]struct {
		route  string
		floor  float64
		script []ends
		sent   int
		ending schema.Ending
		kind   defect.Kind
	}{
		"refused by proxies, then answered":           {once, 0, []ends{full, refusing(defect.HorizonPast, 0, false), unopened, refusing(defect.Leaving, 0, false), answering}, 5, schema.Ending_ENDING_ANSWERED, ""},
		"no room at two, by their own word":           {repeatable, 9, []ends{full, wait, full, wait, answering}, 4, schema.Ending_ENDING_NOT_RUN, defect.BufferFull},
		"turned away by a worker, with no budget":     {repeatable, 0, []ends{turned, answering}, 1, schema.Ending_ENDING_NOT_RUN, defect.BufferFull},
		"turned away by a worker, with a budget":      {once, 1, []ends{turned, answering}, 2, schema.Ending_ENDING_ANSWERED, ""},
		"turned away by two, with a budget of one":    {once, 1, []ends{turned, turned, answering}, 2, schema.Ending_ENDING_NOT_RUN, defect.BufferFull},
		"turned away by as many as the route lets":    {once + `,"tries":2`, 9, []ends{full, turned, full, turned, answering}, 4, schema.Ending_ENDING_NOT_RUN, defect.BufferFull},
		"broken off, once":                            {once, 9, []ends{breaking, answering}, 1, schema.Ending_ENDING_UNKNOWN, defect.LinkLost},
		"broken off, repeatable":                      {repeatable, 1, []ends{breaking, answering}, 2, schema.Ending_ENDING_ANSWERED, ""},
		"broken off, repeatable, with no budget":      {repeatable, 0, []ends{breaking, answering}, 1, schema.Ending_ENDING_UNKNOWN, defect.LinkLost},
		"broken off, repeatable, one try":             {repeatable + `,"tries":1`, 9, []ends{breaking, answering}, 1, schema.Ending_ENDING_UNKNOWN, defect.LinkLost},
		"broken off, then refused everywhere":         {repeatable, 9, []ends{breaking, full}, 6, schema.Ending_ENDING_UNKNOWN, defect.LinkLost},
		"no answer in all the time there is":          {repeatable, 9, []ends{hanging}, 1, schema.Ending_ENDING_UNKNOWN, defect.HorizonPast},
		"refused, then no answer, once":               {once, 9, []ends{full, hanging, answering}, 2, schema.Ending_ENDING_UNKNOWN, defect.HorizonPast},
		"an answer that is a failure is the worker's": {repeatable, 9, []ends{failing, answering}, 1, schema.Ending_ENDING_ANSWERED, ""},
		"an answer to another request is no answer": {once, 9, []ends{func(context.Context, *schema.Carry) (*schema.Carried, error) {
			return &schema.Carried{Request: "other", Ending: schema.Ending_ENDING_ANSWERED, Status: 200}, nil
		}}, 1, schema.Ending_ENDING_UNKNOWN, defect.BadAnswer},
		"an answer that is not whole is no answer": {once, 9, []ends{func(_ context.Context, carry *schema.Carry) (*schema.Carried, error) {
			return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_ANSWERED, Status: 200, Body: []byte("a"), Length: 2}, nil
		}}, 1, schema.Ending_ENDING_UNKNOWN, defect.BadAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCarrying(t, 6, one.route, one.floor, one.script...)
				ended := c.Carry(t.Context(), &Call{Target: "/a", Request: plan.Request{Caller: "client", Method: "GET", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
				if len(c.sent) != one.sent || ended.Carried.Ending != one.ending || (one.kind != "" && ended.Carried.Defect != string(one.kind)) {
					t.Errorf("sent to %v, ended %v %s; want %d, %v %s", c.sent, ended.Carried.Ending, ended.Carried.Defect, one.sent, one.ending, one.kind)
				}
				seen := map[string]bool{}
				for _, instance := range c.sent {
					if seen[instance] {
						t.Errorf("sent to %s twice", instance)
					}
					seen[instance] = true
				}
			})
		})
	}
}

// Each worker is told how much time is left as the call goes to it, not as it came.
func TestTimeLeftIsToldAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost = 300 * time.Millisecond
		var told []time.Duration
		note := func(then ends) ends {
			return func(ctx context.Context, carry *schema.Carry) (*schema.Carried, error) {
				told = append(told, time.Duration(carry.LeftNanos))
				time.Sleep(lost)
				return then(ctx, carry)
			}
		}
		c := startCarrying(t, 6, `"class":"repeatable"`, 9, note(breaking), note(breaking), note(answering))
		c.Carry(t.Context(), &Call{Target: "/a", Request: plan.Request{Caller: "client", Method: "GET", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
		if len(told) != 3 {
			t.Fatalf("sent with %v left", told)
		}
		for i := range 2 {
			if told[i]-told[i+1] < lost {
				t.Errorf("sent with %v left, then %v later with %v", told[i], lost, told[i+1])
			}
		}
	})
}

// A failure for an answer goes to one other worker, where the call may run again, in time and for a part
// of the budget; whatever comes of that, the caller gets a worker's answer.
func TestFailedAnswerIsAskedOfAnother(t *testing.T) {
	const repeatable, once = `"class":"repeatable"`, `"class":"once"`
	slow := func(_ context.Context, carry *schema.Carry) (*schema.Carried, error) {
		time.Sleep(300 * time.Millisecond)
		return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_ANSWERED, Status: 500, PaceNanos: int64(300 * time.Millisecond)}, nil
	}
	for name, one := range map[string]struct {
		route  string
		floor  float64
		part   float64
		script []ends
		sent   int
		status int32
	}{
		"answered by another":              {repeatable, 2, 0.5, []ends{failing, answering}, 2, 200},
		"not once":                         {once, 9, 0.5, []ends{failing, answering}, 1, 500},
		"not where nothing is set aside":   {repeatable, 9, 0, []ends{failing, answering}, 1, 500},
		"not beyond its part":              {repeatable, 1, 0.5, []ends{failing, answering}, 1, 500},
		"not beyond the route's tries":     {repeatable + `,"tries":1`, 9, 0.5, []ends{failing, answering}, 1, 500},
		"not who hardly ever fails":        {repeatable, 9, 0.5, []ends{failingOf(100, 4), answering}, 1, 500},
		"who fails some":                   {repeatable, 9, 0.5, []ends{failingOf(100, 5), answering}, 2, 200},
		"one other only":                   {repeatable, 9, 0.5, []ends{failing, failing, answering}, 2, 500},
		"the other has no room":            {repeatable, 9, 0.5, []ends{failing, refusing(defect.BufferFull, 9, false), answering}, 2, 500},
		"the other's answer is lost":       {repeatable, 9, 0.5, []ends{failing, breaking, answering}, 2, 500},
		"the other has a newer setup":      {repeatable, 9, 0.5, []ends{failing, refusing(defect.StalePlan, 0, false), answering}, 2, 500},
		"after a lost answer":              {repeatable, 9, 0.5, []ends{breaking, failing, answering}, 3, 200},
		"not after a refusal for room":     {repeatable, 9, 0.5, []ends{refusing(defect.BufferFull, 9, false), failing, answering}, 2, 500},
		"in time":                          {repeatable + `,"aim":"700ms"`, 9, 0.5, []ends{slow, answering}, 2, 200},
		"not where it would come too late": {repeatable + `,"aim":"500ms"`, 9, 0.5, []ends{slow, answering}, 1, 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCarrying(t, 6, one.route, one.floor, one.script...)
				c.Rebound(Bounds{Options: plan.Options{HorizonMost: 10 * time.Second}, ExtraFloor: one.floor, ExtraFailed: one.part})
				ended := c.Carry(t.Context(), &Call{Target: "/a", Request: plan.Request{Caller: "client", Method: "GET", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
				if len(c.sent) != one.sent || ended.Err != nil || ended.Carried.Status != one.status || c.waited > 0 {
					t.Errorf("sent to %v, ended %v %d, waited for news %d times; want %d, %d", c.sent, ended.Err, ended.Carried.Status, c.waited, one.sent, one.status)
				}
			})
		})
	}
	// A version on trial answers for its own failures.
	synctest.Test(t, func(t *testing.T) {
		c := startCarrying(t, 6, repeatable, 9, failing, answering)
		c.Rebound(Bounds{Options: plan.Options{HorizonMost: 10 * time.Second}, ExtraFloor: 9, ExtraFailed: 1})
		item := func(kind, name, body string) *schema.Item {
			return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Sequence: 1}}
		}
		trying, faults := setup.Compile(setup.State{}.With([]*schema.Item{item("service", "shop", `{"versions":["0","1"],"fallback":"0"}`), item("route", "r", `{"service":"shop","prefix":"/","horizon":"3200ms",`+repeatable+`}`),
			item("flag", "release.shop", `{"on":true,"salt":"","variations":["0","1"],"offVariation":0,"fallthrough":{"variation":1}}`)}), 1)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		view := &plan.View{Setup: trying, Directory: c.View().Directory}
		c.View = func() *plan.View { return view }
		failed, _ := failing(t.Context(), &schema.Carry{})
		for version, want := range map[string]bool{"0": true, "1": false} {
			made := &plan.Plan{Route: &setup.Route{}, Service: "shop", Verdict: plan.Verdict{Version: version}, Class: setup.Repeatable}
			if got := c.mayAskAnother(&Ended{Plan: made}, &round{last: notRun(defect.NoWorker, 0)}, failed, time.Second); got != want {
				t.Errorf("version %s: asked of another %v", version, got)
			}
		}
	})
}

// Where every try counts, looking for a first worker is paid for too.
func TestEveryTryCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCarrying(t, 6, `"class":"once"`, 2, refusing(defect.BufferFull, 0, false))
		c.ByArrival = false
		c.Carry(t.Context(), &Call{Target: "/a", Request: plan.Request{Caller: "client", Method: "GET", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
		if len(c.sent) != 3 {
			t.Errorf("sent to %v, want the first and two paid for", c.sent)
		}
	})
}

// Where nobody has room, a caller is told at once, and when there will be; where workers are not
// known, it is told before it is too late to ask again.
func TestRefusalsComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const route = `"class":"once","aim":"800ms"`
		call := &Call{Target: "/a", Request: plan.Request{Caller: "client", Method: "GET", Path: "/a", Header: func(string) (string, bool) { return "", false }}}
		c := startCarrying(t, 3, route, 0, refusing(defect.BufferFull, 300*time.Millisecond, false), refusing(defect.HorizonPast, 100*time.Millisecond, false), refusing(defect.BufferFull, 0, false))
		began := time.Now()
		if ended := c.Carry(t.Context(), call); len(c.sent) != 2 || time.Since(began) > 0 || time.Duration(ended.Carried.BackNanos) != 100*time.Millisecond {
			t.Errorf("%d tries, %v, back after %v", len(c.sent), time.Since(began), time.Duration(ended.Carried.BackNanos))
		}
		c = startCarrying(t, 0, route, 0, answering)
		began = time.Now()
		if ended := c.Carry(t.Context(), call); ended.Carried.Defect != string(defect.NoWorker) || time.Since(began) > 200*time.Millisecond {
			t.Errorf("%s after %v", ended.Carried.Defect, time.Since(began))
		}
	})
}
