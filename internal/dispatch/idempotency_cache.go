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

// reservedElsewhere is returned and stored in place of an instance if the key could not be reserved for a run, usually
// because a request at another proxy has reserved it. The state of that request may change at any time, so the next
// repeat asks the registries again.
const reservedElsewhere = "elsewhere"

// idempotencyKey qualifies an idempotency key by its caller, service and route, so that equal keys of two callers, or
// on two routes, are different keys.
func idempotencyKey(caller, service, route, key string) string {
	return strings.Join([]string{caller, service, route, key}, "\x00")
}

// requestFingerprint returns a SHA-256 digest of a request's target and body. Two requests under one key must have the
// same fingerprint.
func requestFingerprint(target string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(target))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// crcTable is the table for the checksums of fingerprints that entries hold.
var crcTable = crc64.MakeTable(crc64.ECMA)

// idempotencyEntry is the state of one idempotency key: in flight until done is closed, then settled. The fields after
// done are set before it is closed, and not changed afterwards.
type idempotencyEntry struct {
	fingerprint uint64        // CRC-64 of the request's fingerprint
	done        chan struct{} // closed once the entry is settled
	// instance is where the request was tried. It is empty if no instance can report on the request, and
	// reservedElsewhere if the key could not be reserved.
	instance string
	result   *schema.ForwardResponse // result of the request
}

// IdempotencyCache retains idempotency keys and their results, so that a repeat gets the result of the first request.
// It is bounded in keys and in bytes, and evicts the oldest settled keys first. It is safe for concurrent use.
type IdempotencyCache struct {
	maxKeys int // maximum number of keys, both in flight and settled

	lock        sync.Mutex                   // guards the fields below
	entries     map[string]*idempotencyEntry // keyed by the result of idempotencyKey
	order       []string                     // the keys of entries, the oldest first
	answerBytes int                          // total size of the retained bodies
}

// bytesPerKey is the memory for retained bodies, in bytes for each of the maxKeys keys. If all bodies together exceed
// maxKeys*bytesPerKey bytes, the oldest settled keys are evicted.
const bytesPerKey = 1024

// NewIdempotencyCache returns a cache of at most maxKeys keys, with bodies of at most maxKeys*bytesPerKey bytes in all.
func NewIdempotencyCache(maxKeys int) *IdempotencyCache {
	return &IdempotencyCache{maxKeys: maxKeys, entries: map[string]*idempotencyEntry{}}
}

// Do runs a request under a key at most once at a time, and returns its result. A repeat waits for the first request
// and gets its result, unless the result proves that nothing ran. If ctx ends during the wait, the outcome is unknown with
// the code errs.IdempotencyKeyUnresolved. A request with another fingerprint under the same key is refused with
// errs.IdempotencyKeyReused, and a key for which there is no room with errs.QueueFull.
//
// run returns the result and the instance that was tried. After a result with an unknown outcome, a repeat runs again
// with that instance as pinnedInstance, because only that instance knows whether the request ran.
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
	// Proof that this attempt did not run does not tell whether the one before it ran.
	if pinnedInstance != "" && result.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		result, instance = outcomeUnknown(errs.IdempotencyKeyUnresolved), pinnedInstance
	}
	c.lock.Lock()
	entry.result, entry.instance = result, instance
	close(entry.done)
	c.answerBytes += len(result.Body)
	c.evict()
	c.lock.Unlock()
	return result
}

// begin adds an entry in flight for a key, after waiting for an earlier entry under that key. If the earlier result is
// final, or the key cannot be used, it returns the response instead.
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
		// Of all repeats that waited, the first one to get here replaces the entry. The others find the new entry.
		if c.entries[key] == existing {
			if existing.result.Outcome == schema.CallOutcome_CALL_OUTCOME_UNKNOWN && existing.instance != reservedElsewhere {
				pinnedInstance = existing.instance
			}
			c.remove(key)
		}
	}
	if !c.evict() {
		return nil, "", notExecuted(errs.QueueFull, 0)
	}
	entry = &idempotencyEntry{fingerprint: checksum, done: make(chan struct{})}
	c.entries[key] = entry
	c.order = append(c.order, key)
	return entry, pinnedInstance, nil
}

// awaitUnlocked waits until an entry is settled, and returns false if ctx ends first. The caller holds the lock, which
// is released during the wait.
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

// isFinal reports whether every repeat gets the result of a settled entry. It does not if nothing ran, or if the
// outcome is unknown and a repeat may still learn it from the instance.
func (e *idempotencyEntry) isFinal() bool {
	switch e.result.Outcome {
	case schema.CallOutcome_CALL_OUTCOME_ANSWERED:
		return true
	case schema.CallOutcome_CALL_OUTCOME_UNKNOWN:
		return e.instance == ""
	}
	return false
}

// Recall returns the result under a key, after waiting for it if the key is in flight. It never runs anything. The
// outcome is unknown, with the code errs.IdempotencyKeyUnresolved, unless the request was answered here before ctx
// ends. A fingerprint of another request is refused with errs.IdempotencyKeyReused.
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
	// A request that did not run here may still run elsewhere, because its proxy may try another worker.
	if existing.result.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	return existing.result
}

// remove removes a key. The caller holds the lock.
func (c *IdempotencyCache) remove(key string) {
	c.answerBytes -= len(c.entries[key].result.GetBody())
	delete(c.entries, key)
	for i, listed := range c.order {
		if listed == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// evict removes the oldest settled keys until the retained bodies fit and there is room for one more key. It returns
// false if there is no room because all keys are in flight. The caller holds the lock.
func (c *IdempotencyCache) evict() bool {
	for i := 0; i < len(c.order) && (len(c.order) >= c.maxKeys || c.answerBytes > c.maxKeys*bytesPerKey); {
		select {
		case <-c.entries[c.order[i]].done:
			c.remove(c.order[i])
		default:
			i++
		}
	}
	return len(c.order) < c.maxKeys
}
