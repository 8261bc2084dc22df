//go:build !race

package plan

// raceEnabled is false without the race detector.
const raceEnabled = false
