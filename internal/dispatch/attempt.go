package dispatch

import (
	"context"
	"hash/crc32"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Where nothing else tells of a proxy that hangs, one try of a repeatable call may take this part of the time left, or all but so many times
// what its worker takes, if that is known.
const (
	repeatParts = 2
	repeatTimes = 2
)

// intact tells whether an answer is this request's, as it was sent.
func intact(carry *schema.Carry, carried *schema.Carried) bool {
	return carried.Request == carry.Request && uint64(len(carried.Body)) == carried.Length && crc32.ChecksumIEEE(carried.Body) == carried.Checksum
}

// aimLeft is what is left of a call's aim, below 0 once it is past, 0 if it has none.
func aimLeft(made *plan.Plan, left time.Duration) int64 {
	if made.Aim <= 0 {
		return 0
	}
	aim := made.Aim - (made.Horizon - left)
	if aim <= 0 {
		return -1
	}
	return int64(aim)
}

// enquiryTimes is how many times what an enquiry takes must be likely to be spared by it.
const enquiryTimes = 2

// enquire asks whether there is room at a worker in another zone before a body is sent there that is
// likely to be refused: what is turned away need not have travelled. Nil: it is to be sent.
func (c *Carrier) enquire(ctx context.Context, carry *schema.Carry, candidate *plan.Candidate, turned bool) *schema.Carried {
	if candidate.Area == c.Options.Area || len(carry.Body) == 0 {
		return nil
	}
	chance := c.Soundness.Turns(candidate.Instance)
	// Whom another has just turned away is as likely as not to be turned away here.
	if turned {
		chance = max(chance, 0.5)
	}
	// A proxy that knows no enquiries takes this for a request that lost its body, and refuses it.
	enquiry := &schema.Carry{Request: carry.Request, Caller: carry.Caller, Service: carry.Service, Version: carry.Version, Instance: carry.Instance,
		Checksum: carry.Checksum, LeftNanos: carry.LeftNanos, Route: carry.Route, Rank: carry.Rank, AimNanos: carry.AimNanos, Enquiry: true}
	if chance*float64(len(carry.Body)) < enquiryTimes*float64(proto.Size(enquiry)) {
		return nil
	}
	carried, err := c.SendOn(ctx, *candidate, enquiry)
	switch {
	case err != nil && c.Patient && ctx.Err() != nil:
		return notRun(endOf(ctx), 0)
	case err != nil:
		// Nothing that could run was sent.
		c.Soundness.Lost(candidate.Proxy, c.Now())
		return notRun(defect.LinkUnopened, 0)
	case carried.Request != carry.Request || carried.Ending != schema.Ending_ENDING_NOT_RUN || carried.Defect == "":
		return nil
	}
	c.Soundness.Reached(candidate.Proxy)
	return carried
}

// sendOn sends a call to a candidate; turned tells whether another has already turned it away.
func (c *Carrier) sendOn(ctx context.Context, call *Call, ended *Ended, candidate plan.Candidate, left time.Duration, turned bool) *schema.Carried {
	carry := &schema.Carry{Request: ended.ID + "-" + strconv.Itoa(ended.Tries), Caller: call.Request.Caller, Service: ended.Plan.Service,
		Version: ended.Plan.Verdict.Version, Instance: candidate.Instance, Method: call.Request.Method, Target: call.Target,
		Head: call.Head, Body: call.Body, Checksum: crc32.ChecksumIEEE(call.Body), LeftNanos: int64(left),
		Setup: ended.Plan.Verdict.Setup, Once: ended.Plan.Class == setup.Once, Idempotency: call.Request.Idempotency, Route: ended.Plan.Route.Name,
		Host: call.Request.Host, Identity: call.Request.Identity, Rank: uint32(max(0, ended.Plan.Route.Rank)), AimNanos: aimLeft(ended.Plan, left)}
	// A call that may be repeated leaves itself time to be, should this proxy hang: as much as the
	// worker takes, for what is broken off while it runs is lost.
	bounded := ctx
	if ended.Plan.Class == setup.Repeatable && !c.Patient {
		patience := left / repeatParts
		if pace := c.Soundness.See(&candidate, c.Now()).Pace; pace > 0 {
			patience = max(patience, left-repeatTimes*pace)
		}
		var cancel context.CancelFunc
		bounded, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	var ending schema.Ending
	var status int32
	callerLeft := false
	sentAt := c.Now()
	c.Soundness.Begin(candidate.Instance, sentAt)
	if refusal := c.enquire(bounded, carry, &candidate, turned); refusal != nil {
		if calledOff(refusal) {
			c.Soundness.CalledOff(candidate.Instance)
		} else {
			c.Soundness.Ended(candidate.Instance, c.Now(), c.Now()-sentAt, refusal)
		}
		return refusal
	}
	// It may have waited for its turn already.
	if waited := c.Now() - sentAt; waited > 0 {
		left -= waited
		carry.LeftNanos, carry.AimNanos = int64(left), aimLeft(ended.Plan, left)
	}
	if len(c.View().Setup.Guards[ended.Plan.Service]) > 0 {
		tried := c.Trials.Begin(ended.Plan.Service, ended.Plan.Verdict.Version, c.Now())
		defer func() {
			if callerLeft {
				c.Trials.Drop(tried)
				return
			}
			// What was proved not to have run says nothing of the version.
			c.Trials.End(tried, c.Now(), ending == schema.Ending_ENDING_UNKNOWN || status >= 500)
		}()
	}
	carried, err := c.SendOn(bounded, candidate, carry)
	// A patient call that came to the end of its time found a slow worker, not a lost proxy.
	outOfTime := c.Patient && ctx.Err() != nil
	switch {
	case err == nil:
		c.Soundness.Reached(candidate.Proxy)
	case !outOfTime:
		c.Soundness.Lost(candidate.Proxy, c.Now())
	}
	switch {
	case err != nil && outOfTime:
		carried = unknown(endOf(ctx))
	case err != nil && defect.KindOf(err) == defect.LinkUnopened:
		carried = notRun(defect.LinkUnopened, 0)
	case err != nil:
		carried = unknown(defect.LinkLost)
	// An answer that is not this request's, or not whole, is no answer.
	case !intact(carry, carried):
		carried = unknown(defect.BadAnswer)
	}
	if calledOff(carried) {
		callerLeft = true
		c.Soundness.CalledOff(candidate.Instance)
		return carried
	}
	// The directory is behind: what it still lists is no more, and need not be tried again.
	if refusal := defect.Kind(carried.Defect); carried.Ending == schema.Ending_ENDING_NOT_RUN && (refusal == defect.WrongInstance || refusal == defect.Leaving) {
		c.Soundness.Disown(candidate.Instance)
	}
	ending, status = carried.Ending, carried.Status
	endedAt := c.Now()
	c.Soundness.Ended(candidate.Instance, endedAt, endedAt-sentAt, carried)
	c.Soundness.Asked(candidate.Instance, ended.Plan.Route.Name, endedAt, carried)
	return carried
}
