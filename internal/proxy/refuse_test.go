package proxy

import (
	"testing"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
	"meadowhinge/schema"
)

// Every kind of failure either tells when to come back, or is one that asking again won't mend.
func TestEveryErrorSaysWhenToRetry(t *testing.T) {
	opts := &schema.ProxyOptions{Lease: int64(8 * time.Second), Ejection: int64(5 * time.Second), HorizonMost: int64(10 * time.Second), Drain: int64(7 * time.Second)}
	s := &Server{initialOptions: opts, extensions: newExtensions(nil)}
	s.liveOptions.Store(opts)
	want := map[defect.Code]string{
		defect.NoLease: "1", defect.NoWorker: "1", defect.WorkerDraining: "1", defect.WrongInstance: "1", defect.ProxyWarmingUp: "1", defect.StalePlan: "1", defect.VersionNotAllowed: "1",
		defect.NoQuorum: "1", defect.IdempotencyKeyNotReserved: "1", defect.IdempotencyKeyUnresolved: "2", defect.DeadlineExceeded: "2", defect.QueueFull: "2", defect.DuplicateRequest: "2",
		defect.PeerConnectionLost: "5", defect.PeerConnectFailed: "5", defect.WorkerConnectionLost: "5", defect.WorkerConnectFailed: "5", defect.InvalidResponse: "5", defect.ProxyDraining: "7",
		// What stays refused, however often it is asked for.
		defect.RouteNotFound: "", defect.PolicyDenied: "", defect.CallerDisconnected: "", defect.CallerNotAllowed: "", defect.BodyTooLarge: "", defect.HeaderTooLarge: "", defect.RequestTimeout: "", defect.MalformedRequest: "", defect.IdempotencyKeyReused: "", defect.InvalidOptions: "", defect.InvalidConfig: "",
		defect.Conflict: "", defect.StaleTerm: "", defect.ChangeNotFound: "", defect.DiskFailed: "", defect.DiskCorrupt: "", defect.Unauthorized: "", defect.Internal: "",
	}
	for _, code := range defect.Codes() {
		seconds, known := want[code]
		if !known {
			t.Errorf("%s: nothing is said of when to come back", code)
		}
		for _, forwarded := range []*schema.ForwardResponse{nil, {Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED}, {Outcome: schema.CallOutcome_CALL_OUTCOME_UNKNOWN}} {
			response := &Response{}
			s.writeResult(&RequestHeader{}, &dispatch.CallResult{Err: defect.New(code, ""), Response: forwarded}, response)
			if retryAfter := response.HeaderValue("Retry-After"); retryAfter != seconds {
				t.Errorf("%s: come back after %q, want %q", code, retryAfter, seconds)
			}
		}
	}
}
