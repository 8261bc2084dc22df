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

// anotherProxy is where a repeat was that found the key to be another proxy's: what it was told
// holds for that moment only, and the next repeat asks anew.
const anotherProxy = "elsewhere"

// idempotencyKey names an idempotency key: one key of two callers, or on two routes, is two keys.
func idempotencyKey(caller, service, route, key string) string {
	return strings.Join([]string{caller, service, route, key}, "\x00")
}

// requestFingerprint is what two requests under one key must have alike.
func requestFingerprint(target string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(target))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// idempotencyEntry is one idempotency key: in flight until done is closed, then settled.
type idempotencyEntry struct {
	fingerprint uint64
	done        chan struct{}
	instance    string
	result      *schema.ForwardResponse
}

// IdempotencyCache holds idempotency keys and what came of them, so that a repeat gets the first
// answer. It is bounded: the oldest settled keys go first.
type IdempotencyCache struct {
	lock        sync.Mutex
	maxKeys     int
	entries     map[string]*idempotencyEntry
	order       []string
	answerBytes int // of the answers kept
}

// bytesPerKey is what an answer may take on average: larger ones push out older ones sooner.
const bytesPerKey = 1024

// NewIdempotencyCache makes a memory of at most so many keys.
func NewIdempotencyCache(maxKeys int) *IdempotencyCache {
	return &IdempotencyCache{maxKeys: maxKeys, entries: map[string]*idempotencyEntry{}}
}

// Do runs a request under a key once. A repeat waits for the first or gets its result; the
// same key with another body is refused. run tells where it tried; a repeat of a try that
// ended unknown may only go there again, because only there is it known whether it ran.
func (c *IdempotencyCache) Do(ctx context.Context, key string, fingerprint []byte, run func(pinnedInstance string) (*schema.ForwardResponse, string)) *schema.ForwardResponse {
	checksum := crc64.Checksum(fingerprint, crcTable)
	pinnedInstance := ""
	c.lock.Lock()
	for {
		existing := c.entries[key]
		if existing == nil {
			break
		}
		if existing.fingerprint != checksum {
			c.lock.Unlock()
			return notExecuted(errs.IdempotencyKeyReused, 0)
		}
		c.lock.Unlock()
		select {
		case <-existing.done:
		case <-ctx.Done():
			return outcomeUnknown(errs.IdempotencyKeyUnresolved)
		}
		c.lock.Lock()
		final := existing.result.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED ||
			(existing.result.Outcome == schema.CallOutcome_CALL_OUTCOME_UNKNOWN && existing.instance == "")
		if final {
			c.lock.Unlock()
			return existing.result
		}
		if c.entries[key] == existing {
			// Not run, or unknown at a place that can still tell: the repeat takes its turn.
			if existing.result.Outcome == schema.CallOutcome_CALL_OUTCOME_UNKNOWN && existing.instance != anotherProxy {
				pinnedInstance = existing.instance
			}
			c.forget(key)
		}
	}
	if !c.makeRoom() {
		c.lock.Unlock()
		return notExecuted(errs.QueueFull, 0)
	}
	entry := &idempotencyEntry{fingerprint: checksum, done: make(chan struct{})}
	c.entries[key] = entry
	c.order = append(c.order, key)
	c.lock.Unlock()

	result, instance := run(pinnedInstance)
	// That this try did not run says nothing of the one before it.
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

// Recall gives what came of a key, waiting for it while it is in flight; it never runs anything.
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
	// That it did not run here does not say that it runs nowhere: its proxy may try elsewhere.
	if existing.result.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	return existing.result
}

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

// makeRoom lets the oldest settled keys go until the answers fit and one more key does; false if
// all are in flight.
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
