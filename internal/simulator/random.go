package simulator

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// time is now, for whoever is not an event.
func (w *World) time() time.Duration { return time.Since(w.startTime) }

// nextID is a number that was not given before.
func (w *World) nextID() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastID++
	return w.lastID
}

// randomInt draws a number below most; chance draws one in [0,1); randomDuration draws a time.
func (w *World) randomInt(limit int) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.random.IntN(limit)
}

func (w *World) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// derivedRandom gives dice to whoever is not an event. They are drawn from what is done and when, not from
// the events' dice, so that it does not matter in which order goroutines go on that wake at once.
func (w *World) derivedRandom(purpose string) *rand.Rand {
	sum := fnv.New64a()
	sum.Write([]byte(purpose))
	return rand.New(rand.NewPCG(w.seed, sum.Sum64()^uint64(w.time())))
}

// callContext is the context of what is done for one call.
func callContext(purpose string) context.Context {
	return context.WithValue(context.Background(), callContextKey{}, purpose)
}

type callContextKey struct{}

// stagger lets goroutines that one event woke at once go on one after another, each at a time
// of its own.
func (w *World) stagger(ctx context.Context) {
	purpose, _ := ctx.Value(callContextKey{}).(string)
	time.Sleep(time.Duration(1 + w.derivedRandom(purpose).IntN(int(100*time.Microsecond))))
}
