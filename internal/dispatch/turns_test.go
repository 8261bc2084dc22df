package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/link"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// A body goes to another zone only once there is a turn for it, where it is likely to be refused.
func TestWhoIsAskedBeforeABodyIsSent(t *testing.T) {
	full := refusing(defect.BufferFull, 9*time.Millisecond, false)
	room := func(ctx context.Context, carry *schema.Carry) (*schema.Carried, error) {
		time.Sleep(20 * time.Millisecond) // it waits for its turn
		return refusing("", 0, false)(ctx, carry)
	}
	body := strings.Repeat("x", 4000)
	for name, one := range map[string]struct {
		body   string
		far    bool
		turned int // calls that the worker turned away before
		script []ends
		want   string // a letter a dispatch: e for an enquiry, s for one with all its body
		ending schema.Ending
	}{
		"of the own zone":                                     {body, false, 9, []ends{full, full}, "ss", schema.Ending_ENDING_NOT_RUN},
		"elsewhere, with room so far":                         {body, true, 0, []ends{answering}, "s", schema.Ending_ENDING_ANSWERED},
		"elsewhere, after another refused":                    {body, true, 0, []ends{full, full}, "se", schema.Ending_ENDING_NOT_RUN},
		"elsewhere, after another refused, and there is room": {body, true, 0, []ends{full, room, answering}, "ses", schema.Ending_ENDING_ANSWERED},
		"elsewhere, that refused of late":                     {body, true, 9, []ends{full, full}, "ee", schema.Ending_ENDING_NOT_RUN},
		"elsewhere, that refused of late and has room":        {body, true, 9, []ends{room, answering}, "es", schema.Ending_ENDING_ANSWERED},
		"elsewhere, not reached by the enquiry":               {body, true, 9, []ends{breaking, unopened, room, answering}, "eees", schema.Ending_ENDING_ANSWERED},
		"elsewhere, with hardly a body":                       {"x", true, 9, []ends{full, full}, "ss", schema.Ending_ENDING_NOT_RUN},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCarrying(t, 6, `"class":"once"`, 0, one.script...)
				directory := c.View().Directory["shop"]["1"]
				for i := range directory {
					directory[i].Area = map[bool]string{true: "elsewhere"}[one.far]
					for range one.turned {
						c.Soundness.Begin(directory[i].Instance, 0)
						c.Soundness.Ended(directory[i].Instance, 0, 0, notRun(defect.BufferFull, 0))
					}
				}
				kinds, plain, began, made := "", c.SendOn, time.Now(), 3100*time.Millisecond
				c.SendOn = func(ctx context.Context, candidate plan.Candidate, carry *schema.Carry) (*schema.Carried, error) {
					kind := "s"
					if carry.Enquiry {
						kind = "e"
					}
					if carry.Enquiry == (len(carry.Body) > 0) {
						t.Error("an enquiry with its body, or a request without")
					}
					kinds += kind
					if left := made - time.Since(began); carry.LeftNanos != int64(left) {
						t.Errorf("%v is told to be left, not %v", time.Duration(carry.LeftNanos), left)
					}
					return plain(ctx, candidate, carry)
				}
				ended := c.Carry(t.Context(), &Call{Target: "/a", Body: []byte(one.body), Request: plan.Request{Caller: "client", Method: "PUT", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
				if kinds != one.want || ended.Carried.Ending != one.ending {
					t.Errorf("sent %q, ended %v; want %q, %v", kinds, ended.Carried.Ending, one.want, one.ending)
				}
			})
		})
	}
}

// A turn that is kept for a request is there for it alone, for a while; nothing runs by an enquiry.
func TestKeptTurns(t *testing.T) {
	for name, one := range map[string]struct {
		enquiries int           // that come
		late      time.Duration // after which the request comes
		replaced  bool          // the turn was kept at another worker
		taken     bool
	}{
		"the request comes":                   {1, time.Millisecond, false, true},
		"the enquiry came twice":              {2, time.Millisecond, false, true},
		"the request comes late":              {1, time.Second, false, false},
		"the worker was replaced":             {1, time.Millisecond, true, false},
		"a request that nobody enquired for":  {0, 0, false, false},
		"one that comes when the turn is due": {1, 101 * time.Millisecond, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				now := func() time.Duration { return time.Since(began) }
				kept, buffer := &turns{kept: map[string]*keptTurn{}}, NewBuffer(1, 1)
				asked := buffer
				if one.replaced {
					asked = NewBuffer(1, 1)
				}
				for range one.enquiries {
					kept.lock.Lock()
					earlier := kept.kept["r"]
					kept.lock.Unlock()
					if earlier == nil {
						if turn, waiter := buffer.Arrive(now(), Ask{Horizon: time.Hour}); turn.Kind != "" || waiter != nil {
							t.Fatal("no turn for the first")
						}
					} else {
						buffer.running++
					}
					kept.add("r", buffer, now, 100*time.Millisecond)
				}
				if running, _, _ := buffer.Load(); running != uint32(min(1, one.enquiries)) {
					t.Errorf("%d turns are kept", running)
				}
				time.Sleep(one.late)
				synctest.Wait()
				if got := kept.take("r", asked); got != one.taken {
					t.Errorf("taken: %v, want %v", got, one.taken)
				}
				if kept.take("r", asked) {
					t.Error("one turn was taken twice")
				}
				want := uint32(0)
				if one.taken {
					want = 1
				}
				if running, _, _ := buffer.Load(); running != want {
					t.Errorf("%d have a turn, want %d", running, want)
				}
			})
		})
	}
}

// The worker's side runs nothing for an enquiry, keeps the turn, and refuses when there is none.
func TestEnquiriesRunNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		instance, _ := s.enter(t, "127.0.0.1:1", "shop", "1", "token")
		asking := func(request string) *schema.Carry {
			asked := carry(request, instance)
			asked.Enquiry, asked.Body = true, nil
			return asked
		}
		held, _, _ := s.workers.find(carry("r1", instance))
		held.buffer.most, held.buffer.slots = 1, 0
		if got := s.runner.Run(t.Context(), client, asking("r1")); got.Ending != schema.Ending_ENDING_NOT_RUN || got.Defect != "" || len(s.ledger()) > 0 {
			t.Errorf("the enquiry ended %v with %s, runs %v", got.Ending, got.Defect, s.ledger())
		}
		if got := s.runner.Run(t.Context(), link.Peer{}, asking("r1")); got.Defect != string(defect.NotAllowed) {
			t.Errorf("a stranger's enquiry ended with %s", got.Defect)
		}
		if got := s.runner.Run(t.Context(), client, asking("r2")); got.Defect != string(defect.BufferFull) {
			t.Errorf("an enquiry without room ended with %q", got.Defect)
		}
		if got := s.runner.Run(t.Context(), client, carry("r1", instance)); got.Ending != schema.Ending_ENDING_ANSWERED || len(s.ledger()) != 1 {
			t.Errorf("the request ended %v with %s, runs %v", got.Ending, got.Defect, s.ledger())
		}
		if got := s.runner.Run(t.Context(), client, asking("r3")); got.Defect != "" {
			t.Errorf("the turn did not come back: %s", got.Defect)
		}
		unknown := asking("r4")
		unknown.Instance = "p/old/1"
		if got := s.runner.Run(t.Context(), client, unknown); got.Defect != string(defect.WrongInstance) {
			t.Errorf("an enquiry for a worker that is no more ended with %q", got.Defect)
		}
	})
}
