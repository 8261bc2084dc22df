//go:build race

package plan

// raceEnabled is true with the race detector: it lets pools drop what they hold at random, so allocations say nothing.
const raceEnabled = true
