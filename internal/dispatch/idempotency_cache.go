package dispatch

import (
	"context"
	"crypto/sha256"
	"hash/crc64"
	"strings"
	"sync"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// anotherProxy is the instance of a repeat whose key was reserved by another proxy. What that proxy reported holds only
// for that moment, so the next repeat asks again.
const anotherProxy = "elsewhere"

// idempotencyKey qualifies an idempotency key: the same key of two callers, or on two routes, is two keys.
func idempotencyKey(caller, service, route, key string) string {
	return strings.Join([]string{caller, service, route, key}, "\x00")
}

// requestFingerprint returns what two requests under one key must have in common.
func requestFingerprint(target string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(target))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// crcTable shortens fingerprints to checksums.
var crcTable = crc64.MakeTable(crc64.ECMA)

// idempotencyEntry is one idempotency key: in flight until done is closed, then settled. The fields after done are set
// before it is closed, and not changed afterwards.
type idempotencyEntry struct {
	fingerprint uint64 // checksum of the request's fingerprint
	done        chan struct{}
	instance    string // where the request was tried; empty if no instance can report on it; or anotherProxy
	result      *schema.ForwardResponse
}

// IdempotencyCache retains idempotency keys and their results, so that a repeat gets the result of the first request.
// It is bounded: the oldest settled keys are dropped first. It is safe for concurrent use.
type IdempotencyCache struct {
	maxKeys int

	lock        sync.Mutex // guards the fields below
	entries     map[string]*idempotencyEntry
	order       []string // the keys, the oldest first
	answerBytes int      // total size of the retained bodies
}

// bytesPerKey is the size that a retained body may have on average: larger ones push out older ones sooner.
const bytesPerKey = 1024

// NewIdempotencyCache returns a cache of at most maxKeys keys.
func NewIdempotencyCache(maxKeys int) *IdempotencyCache {
	return &IdempotencyCache{maxKeys: maxKeys, entries: map[string]*idempotencyEntry{}}
}

// Do runs a request under a key once. A repeat waits for the first request, and gets its result unless that proves that
// nothing ran; the same key with another request is refused. run returns the result and the instance that was tried.
// A repeat of an attempt with an unknown outcome is pinned to that instance, because only there it is known
// whether the request ran.
func (c *IdempotencyCache) Do(
	ctx context.Context, key string, fingerprint []byte,
	run func(pinnedInstance string) (*schema.ForwardResponse, string),
) *schema.ForwardResponse {
	checksum := crc64.Checksum(fingerprint, crcTable)
	entry, pinnedInstance, response := c.begin(ctx, key, checksum)
	if response != nil {
		return response
	}
	result, instance := run(pinnedInstance)
	// That this attempt did not run says nothing of the one before it.
	if pinnedInstance != "" && result.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		result, instance = outcomeUnknown(errs.IdempotencyKeyUnresolved), pinnedInstance
	}
	c.lock.Lock()
	entry.result, entry.instance = result, instance
	close(entry.done)
	c.answerBytes += len(result.Body)
	c.makeRoom()
	c.lock.Unlock()
	return result
}

// begin adds an entry in flight for a key, after it has waited for an earlier one. If the key is settled, or cannot be
// used, it returns the response instead.
func (c *IdempotencyCache) begin(ctx context.Context, key string, checksum uint64) (
	entry *idempotencyEntry, pinnedInstance string, response *schema.ForwardResponse,
) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for {
		existing := c.entries[key]
		if existing == nil {
			break
		}
		if existing.fingerprint != checksum {
			return nil, "", notExecuted(errs.IdempotencyKeyReused, 0)
		}
		if !c.awaitUnlocked(ctx, existing) {
			return nil, "", outcomeUnknown(errs.IdempotencyKeyUnresolved)
		}
		if existing.isFinal() {
			return nil, "", existing.result
		}
		// Of all repeats that waited, the first to get here takes over the key; the others find its entry.
		if c.entries[key] == existing {
			if existing.result.Outcome == schema.CallOutcome_CALL_OUTCOME_UNKNOWN && existing.instance != anotherProxy {
				pinnedInstance = existing.instance
			}
			c.forget(key)
		}
	}
	if !c.makeRoom() {
		return nil, "", notExecuted(errs.QueueFull, 0)
	}
	entry = &idempotencyEntry{fingerprint: checksum, done: make(chan struct{})}
	c.entries[key] = entry
	c.order = append(c.order, key)
	return entry, pinnedInstance, nil
}

// awaitUnlocked waits, without the lock that its caller holds, until an entry is settled. It returns false if ctx ends
// first.
func (c *IdempotencyCache) awaitUnlocked(ctx context.Context, entry *idempotencyEntry) bool {
	c.lock.Unlock()
	defer c.lock.Lock()
	select {
	case <-entry.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// isFinal reports whether a settled entry's result is every repeat's result. It is not if nothing ran, or if the
// outcome is unknown and the instance can still report on it.
func (e *idempotencyEntry) isFinal() bool {
	switch e.result.Outcome {
	case schema.CallOutcome_CALL_OUTCOME_ANSWERED:
		return true
	case schema.CallOutcome_CALL_OUTCOME_UNKNOWN:
		return e.instance == ""
	}
	return false
}

// Recall returns the result of a key, after waiting for it while it is in flight. It never runs anything.
func (c *IdempotencyCache) Recall(ctx context.Context, key string, fingerprint []byte) *schema.ForwardResponse {
	c.lock.Lock()
	existing := c.entries[key]
	c.lock.Unlock()
	if existing == nil {
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	if existing.fingerprint != crc64.Checksum(fingerprint, crcTable) {
		return notExecuted(errs.IdempotencyKeyReused, 0)
	}
	select {
	case <-existing.done:
	case <-ctx.Done():
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	// That the request did not run here does not say that it runs nowhere: its proxy may try another worker.
	if existing.result.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	return existing.result
}

// forget drops a key. The caller holds the lock.
func (c *IdempotencyCache) forget(key string) {
	c.answerBytes -= len(c.entries[key].result.GetBody())
	delete(c.entries, key)
	for i, listed := range c.order {
		if listed == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// makeRoom drops the oldest settled keys until the retained bodies fit and there is room for one more key. It returns
// false if there is none, because all keys are in flight. The caller holds the lock.
func (c *IdempotencyCache) makeRoom() bool {
	for i := 0; i < len(c.order) && (len(c.order) >= c.maxKeys || c.answerBytes > c.maxKeys*bytesPerKey); {
		select {
		case <-c.entries[c.order[i]].done:
			c.forget(c.order[i])
		default:
			i++
		}
	}
	return len(c.order) < c.maxKeys
}
