package dispatch

// LocalState is what a proxy knows of workers and versions by its own observation, in addition to the configuration and
// the directory. It implements plan.LocalState.
type LocalState struct {
	*OutlierDetector
	*CanaryGuard
}
