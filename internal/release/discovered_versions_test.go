package release

import "testing"

// TestDiscoveredVersions checks that the first version of registered workers becomes the fallback, with a flag
// for it, and that a version which registers without an order does not, however many its workers.
func TestDiscoveredVersions(t *testing.T) {
	h := newDeadlineHarness(t)
	compiled := h.compiled()
	if compiled.FallbackOf("shop") != "1" || compiled.Flags.Flags["release.shop"] == nil || len(compiled.GuardedVersions["shop"]) != 0 {
		t.Fatalf("discovered %v", compiled.DiscoveredVersions["shop"])
	}
	h.workers[[2]string{"shop", "2"}] = WorkerPool{Workers: 9}
	sequence := h.sequence
	h.reconcile()
	if h.sequence != sequence || h.compiled().Services["shop"].AllowsVersion("2") {
		t.Error("a version that nobody ordered is allowed")
	}
}
