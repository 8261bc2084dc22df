package session

import "math/rand/v2"

// incarnationCounterShift is where the count of lives begins in an incarnation; below it are random bits.
const incarnationCounterShift = 32

// NextIncarnation is the incarnation of a process that comes after all those seen of its name.
// Others keep the highest that they saw, so that no time of day is needed. The random bits tell
// two lives apart that took the same count while they could not hear of each other.
func NextIncarnation(seen uint64) uint64 {
	return (seen>>incarnationCounterShift+1)<<incarnationCounterShift | uint64(rand.Uint32())
}

// IsSuperseded tells whether a source's own stamp, seen elsewhere, is one that it must go beyond:
// an earlier life's that is higher than its own, or word that its own life has ended.
func IsSuperseded(own, seen uint64, ended bool) bool {
	return seen > own || (seen == own && ended)
}
