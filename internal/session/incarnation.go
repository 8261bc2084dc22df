package session

import "math/rand/v2"

// incarnationCounterShift is the position of the restart counter's lowest bit in an incarnation. The bits below it
// are random.
const incarnationCounterShift = 32

// NextIncarnation returns an incarnation that is higher than seen, the highest one known for the same name. Other
// processes remember the highest incarnation of each name, so no clock is needed. The random bits distinguish two
// processes that chose the same counter while neither could learn of the other.
func NextIncarnation(seen uint64) uint64 {
	return (seen>>incarnationCounterShift+1)<<incarnationCounterShift | uint64(rand.Uint32())
}

// IsSuperseded reports whether a process must take a new incarnation. It must if the service directory lists a
// higher one under its name, left by an earlier process, or lists its own incarnation as ended.
func IsSuperseded(own, seen uint64, ended bool) bool {
	return seen > own || (seen == own && ended)
}
