package release

import "testing"

// TestFirstRegisteredVersionBecomesFallback checks that the first version of registered workers becomes the fallback
// and gets a flag. A version that registers later without an order is not allowed, however many workers it has.
func TestFirstRegisteredVersionBecomesFallback(t *testing.T) {
	h := newDeadlineHarness(t)
	compiled := h.compiled()
	if compiled.FallbackVersion("shop") != "1" || compiled.Flags.Flags["release.shop"] == nil || len(compiled.GuardedVersions["shop"]) != 0 {
		t.Fatalf("discovered versions = %v, flag = %v, guarded versions = %v, want fallback 1 with a flag and none guarded",
			compiled.DiscoveredVersions["shop"], compiled.Flags.Flags["release.shop"], compiled.GuardedVersions["shop"])
	}
	h.workers[[2]string{"shop", "2"}] = WorkerPool{Workers: 9}
	sequence := h.sequence
	h.reconcile()
	if h.sequence != sequence || h.compiled().Services["shop"].AllowsVersion("2") {
		t.Errorf("sequence after version 2 registered = %d with versions %v, want %d and version 2 not allowed",
			h.sequence, h.compiled().DiscoveredVersions["shop"], sequence)
	}
}
