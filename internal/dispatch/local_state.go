package dispatch

// LocalState is all that a proxy knows of workers and versions beyond its view.
type LocalState struct {
	*OutlierDetector
	*CanaryGuard
}
