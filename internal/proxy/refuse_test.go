package proxy

import (
	"testing"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
	"meadowhinge/schema"
)

// Every kind of failure either tells when to come back, or is one that asking again won't mend.
func TestEveryRefusalSaysWhenToComeBack(t *testing.T) {
	given := &schema.ProxyOptions{Lease: int64(8 * time.Second), Ejection: int64(5 * time.Second), HorizonMost: int64(10 * time.Second), Drain: int64(7 * time.Second)}
	s := &Server{options: given, speeches: speechesOf(nil)}
	s.live.Store(given)
	want := map[defect.Kind]string{
		defect.NoLease: "1", defect.NoWorker: "1", defect.Leaving: "1", defect.WrongInstance: "1", defect.ProxyYoung: "1", defect.StalePlan: "1", defect.VersionBarred: "1",
		defect.NoMajority: "1", defect.KeyUnclaimed: "1", defect.KeyUnsettled: "2", defect.HorizonPast: "2", defect.BufferFull: "2", defect.Repeated: "2",
		defect.LinkLost: "5", defect.LinkUnopened: "5", defect.WorkerLost: "5", defect.WorkerUnopened: "5", defect.BadAnswer: "5", defect.Draining: "7",
		// What stays refused, however often it is asked for.
		defect.NoRoute: "", defect.PolicyRefused: "", defect.CallerGone: "", defect.NotAllowed: "", defect.TooLarge: "", defect.HeadTooLarge: "", defect.TooSlow: "", defect.Malformed: "", defect.KeyReused: "", defect.BadOptions: "", defect.BadSetup: "",
		defect.Conflict: "", defect.StaleDuty: "", defect.UnknownChange: "", defect.DiskFailed: "", defect.DiskCorrupt: "", defect.Stranger: "", defect.Internal: "",
	}
	for _, kind := range defect.Kinds() {
		seconds, known := want[kind]
		if !known {
			t.Errorf("%s: nothing is said of when to come back", kind)
		}
		for _, carried := range []*schema.Carried{nil, {Ending: schema.Ending_ENDING_NOT_RUN}, {Ending: schema.Ending_ENDING_UNKNOWN}} {
			reply := &Reply{}
			s.answer(&Head{}, &dispatch.Ended{Err: defect.New(kind, ""), Carried: carried}, reply)
			if got := reply.Field("Retry-After"); got != seconds {
				t.Errorf("%s: come back after %q, want %q", kind, got, seconds)
			}
		}
	}
}
