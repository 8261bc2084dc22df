package simulator

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// time returns the virtual time since the start. Goroutines use it; events read w.now.
func (w *World) time() time.Duration { return time.Since(w.startTime) }

// nextID returns a number that is unique in the world.
func (w *World) nextID() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastID++
	return w.lastID
}

// randomInt draws a number in [0, limit) from the random stream of the events.
func (w *World) randomInt(limit int) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.random.IntN(limit)
}

// randomDuration draws a duration in [0, limit) from the random stream of the events. A limit of zero or less gives
// zero without a draw.
func (w *World) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// derivedRandom returns a random stream for a goroutine. It depends on the purpose and the time, not on the stream of
// the events, so that the order in which goroutines that wake together run does not matter.
func (w *World) derivedRandom(purpose string) *rand.Rand {
	sum := fnv.New64a()
	sum.Write([]byte(purpose))
	return rand.New(rand.NewPCG(w.seed, sum.Sum64()^uint64(w.time())))
}

// callContext returns the context for the work of one call. It carries the purpose that stagger derives its random
// stream from: the production code between the two passes nothing but the context.
func callContext(purpose string) context.Context {
	return context.WithValue(context.Background(), callContextKey{}, purpose)
}

// callContextKey is the key of the purpose in a call's context.
type callContextKey struct{}

// stagger delays a goroutine by a random time below 0.1 ms, so that goroutines which one event wakes continue one after
// another, in an order that the seed decides.
func (w *World) stagger(ctx context.Context) {
	purpose, _ := ctx.Value(callContextKey{}).(string)
	time.Sleep(time.Duration(1 + w.derivedRandom(purpose).IntN(int(100*time.Microsecond))))
}
