package dispatch

// LocalState combines a proxy's own observations of workers and of versions. Plans use them in addition to the
// configuration and the directory. It implements plan.LocalState.
type LocalState struct {
	*OutlierDetector
	*CanaryGuard
}
