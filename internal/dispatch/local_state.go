package dispatch

// LocalState is all that a proxy knows of workers and versions besides its view. It implements plan.LocalState.
type LocalState struct {
	*OutlierDetector
	*CanaryGuard
}
