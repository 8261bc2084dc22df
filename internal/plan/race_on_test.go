//go:build race

package plan

// raceEnabled is true with the race detector, under which sync.Pool drops values at random. Allocation counts then mean
// nothing.
const raceEnabled = true
