package proxy

import (
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// Every error code has a defined Retry-After: a number of seconds, or none if no retry can succeed. A new error code
// fails this test until it is added to the table.
func TestRetryAfterOfEveryErrorCode(t *testing.T) {
	opts := &schema.ProxyOptions{
		Lease:       int64(8 * time.Second),
		Ejection:    int64(5 * time.Second),
		HorizonMost: int64(10 * time.Second),
		Drain:       int64(7 * time.Second),
	}
	s := &Server{initialOptions: opts, extensions: newExtensions(nil)}
	s.liveOptions.Store(opts)
	want := map[errs.Code]string{ // expected Retry-After in seconds; empty for none
		errs.NoLease:                   "1",
		errs.NoWorker:                  "1",
		errs.WorkerDraining:            "1",
		errs.WrongInstance:             "1",
		errs.ProxyWarmingUp:            "1",
		errs.StalePlan:                 "1",
		errs.VersionNotAllowed:         "1",
		errs.NoQuorum:                  "1",
		errs.IdempotencyKeyNotReserved: "1",
		errs.IdempotencyKeyUnresolved:  "2",
		errs.DeadlineExceeded:          "2",
		errs.QueueFull:                 "2",
		errs.DuplicateRequest:          "2",
		errs.PeerConnectionLost:        "5",
		errs.PeerConnectFailed:         "5",
		errs.WorkerConnectionLost:      "5",
		errs.WorkerConnectFailed:       "5",
		errs.InvalidResponse:           "5",
		errs.ProxyDraining:             "7",
		// A retry after one of these errors would fail again.
		errs.RouteNotFound:        "",
		errs.PolicyDenied:         "",
		errs.CallerDisconnected:   "",
		errs.CallerNotAllowed:     "",
		errs.BodyTooLarge:         "",
		errs.HeaderTooLarge:       "",
		errs.RequestTimeout:       "",
		errs.MalformedRequest:     "",
		errs.IdempotencyKeyReused: "",
		errs.InvalidOptions:       "",
		errs.InvalidConfig:        "",
		errs.Conflict:             "",
		errs.StaleTerm:            "",
		errs.ChangeNotFound:       "",
		errs.DiskFailed:           "",
		errs.DiskCorrupt:          "",
		errs.Unauthorized:         "",
		errs.Internal:             "",
	}
	for _, code := range errs.Codes() {
		t.Run(string(code), func(t *testing.T) {
			seconds, known := want[code]
			if !known {
				t.Errorf("error code %s has no expected Retry-After in the table of this test", code)
			}
			for _, forwarded := range []*schema.ForwardResponse{
				nil,
				{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
				{Outcome: schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
			} {
				response := &Response{}
				s.writeResult(&RequestHeader{}, &dispatch.CallResult{Err: errs.New(code, ""), Response: forwarded}, response)
				if retryAfter := response.HeaderValue("Retry-After"); retryAfter != seconds {
					t.Errorf("writeResult with error %s and response %v: Retry-After %q, want %q", code, forwarded, retryAfter, seconds)
				}
			}
		})
	}
}
