package simulator

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// time returns the virtual time since the start of the world. Goroutines call it; events read w.now.
func (w *World) time() time.Duration { return time.Since(w.startTime) }

// nextID returns the next number of a sequence that counts up from 1 and never repeats in a world.
func (w *World) nextID() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastID++
	return w.lastID
}

// randomInt draws a number in [0, limit) from World.random.
func (w *World) randomInt(limit int) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.random.IntN(limit)
}

// randomDuration draws a duration in [0, limit) from World.random. With a limit of zero or less it returns zero and
// draws nothing.
func (w *World) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// derivedRandom returns a random stream for a goroutine. The stream depends only on the seed, the purpose and the
// virtual time, not on World.random. So the order in which goroutines run that wake at the same moment does not
// matter.
func (w *World) derivedRandom(purpose string) *rand.Rand {
	sum := fnv.New64a()
	sum.Write([]byte(purpose))
	return rand.New(rand.NewPCG(w.seed, sum.Sum64()^uint64(w.time())))
}

// callContext returns the context for the work of one call. It carries the purpose that stagger derives a random
// stream from, because the production code in between passes on nothing but the context.
func callContext(purpose string) context.Context {
	return context.WithValue(context.Background(), callContextKey{}, purpose)
}

// callContextKey is the context key of the purpose.
type callContextKey struct{}

// stagger delays a goroutine by a random time of at most 0.1 ms. Goroutines that one event wakes then continue one
// after another, in an order that the seed decides.
func (w *World) stagger(ctx context.Context) {
	purpose, _ := ctx.Value(callContextKey{}).(string)
	time.Sleep(time.Duration(1 + w.derivedRandom(purpose).IntN(int(100*time.Microsecond))))
}
