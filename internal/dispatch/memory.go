package dispatch

import (
	"context"
	"crypto/sha256"
	"hash/crc64"
	"strings"
	"sync"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

// elsewhere is where a repeat was that found the key to be another proxy's: what it was told
// holds for that moment only, and the next repeat asks anew.
const elsewhere = "elsewhere"

// keyOf names an idempotency key: one key of two callers, or on two routes, is two keys.
func keyOf(caller, service, route, key string) string {
	return strings.Join([]string{caller, service, route, key}, "\x00")
}

// printOf is what two requests under one key must have alike.
func printOf(target string, body []byte) []byte {
	sum := sha256.New()
	sum.Write([]byte(target))
	sum.Write([]byte{0})
	sum.Write(body)
	return sum.Sum(nil)
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// remembered is one idempotency key: in flight until done is closed, then settled.
type remembered struct {
	body     uint64
	done     chan struct{}
	instance string
	result   *schema.Carried
}

// Memory holds idempotency keys and what came of them, so that a repeat gets the first
// answer. It is bounded: the oldest settled keys go first.
type Memory struct {
	lock  sync.Mutex
	most  int
	keys  map[string]*remembered
	order []string
	bytes int // of the answers kept
}

// bytesPerKey is what an answer may take on average: larger ones push out older ones sooner.
const bytesPerKey = 1024

// NewMemory makes a memory of at most so many keys.
func NewMemory(most int) *Memory {
	return &Memory{most: most, keys: map[string]*remembered{}}
}

// Do runs a request under a key once. A repeat waits for the first or gets its result; the
// same key with another body is refused. run tells where it tried; a repeat of a try that
// ended unknown may only go there again, because only there is it known whether it ran.
func (m *Memory) Do(ctx context.Context, key string, body []byte, run func(pinned string) (*schema.Carried, string)) *schema.Carried {
	sum := crc64.Checksum(body, crcTable)
	pinned := ""
	m.lock.Lock()
	for {
		held := m.keys[key]
		if held == nil {
			break
		}
		if held.body != sum {
			m.lock.Unlock()
			return notRun(defect.KeyReused, 0)
		}
		m.lock.Unlock()
		select {
		case <-held.done:
		case <-ctx.Done():
			return unknown(defect.KeyUnsettled)
		}
		m.lock.Lock()
		settled := held.result.Ending == schema.Ending_ENDING_ANSWERED ||
			(held.result.Ending == schema.Ending_ENDING_UNKNOWN && held.instance == "")
		if settled {
			m.lock.Unlock()
			return held.result
		}
		if m.keys[key] == held {
			// Not run, or unknown at a place that can still tell: the repeat takes its turn.
			if held.result.Ending == schema.Ending_ENDING_UNKNOWN && held.instance != elsewhere {
				pinned = held.instance
			}
			m.forget(key)
		}
	}
	if !m.room() {
		m.lock.Unlock()
		return notRun(defect.BufferFull, 0)
	}
	mine := &remembered{body: sum, done: make(chan struct{})}
	m.keys[key] = mine
	m.order = append(m.order, key)
	m.lock.Unlock()

	result, instance := run(pinned)
	// That this try did not run says nothing of the one before it.
	if pinned != "" && result.Ending == schema.Ending_ENDING_NOT_RUN {
		result, instance = unknown(defect.KeyUnsettled), pinned
	}
	m.lock.Lock()
	mine.result, mine.instance = result, instance
	close(mine.done)
	m.bytes += len(result.Body)
	m.room()
	m.lock.Unlock()
	return result
}

// Recall gives what came of a key, waiting for it while it is in flight; it never runs anything.
func (m *Memory) Recall(ctx context.Context, key string, body []byte) *schema.Carried {
	m.lock.Lock()
	held := m.keys[key]
	m.lock.Unlock()
	if held == nil {
		return unknown(defect.KeyUnsettled)
	}
	if held.body != crc64.Checksum(body, crcTable) {
		return notRun(defect.KeyReused, 0)
	}
	select {
	case <-held.done:
	case <-ctx.Done():
		return unknown(defect.KeyUnsettled)
	}
	// That it did not run here does not say that it runs nowhere: its proxy may try elsewhere.
	if held.result.Ending != schema.Ending_ENDING_ANSWERED {
		return unknown(defect.KeyUnsettled)
	}
	return held.result
}

func (m *Memory) forget(key string) {
	m.bytes -= len(m.keys[key].result.GetBody())
	delete(m.keys, key)
	for i, listed := range m.order {
		if listed == key {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

// room lets the oldest settled keys go until the answers fit and one more key does; false if
// all are in flight.
func (m *Memory) room() bool {
	for i := 0; i < len(m.order) && (len(m.order) >= m.most || m.bytes > m.most*bytesPerKey); {
		select {
		case <-m.keys[m.order[i]].done:
			m.forget(m.order[i])
		default:
			i++
		}
	}
	return len(m.order) < m.most
}

// Seen is a bounded set of request ids.
type Seen struct {
	lock sync.Mutex
	ids  map[string]struct{}
	ring []string
	next int
}

// NewSeen keeps the last so many ids.
func NewSeen(most int) *Seen { return &Seen{ids: map[string]struct{}{}, ring: make([]string, most)} }

// First tells whether an id is new, and keeps it.
func (s *Seen) First(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, found := s.ids[id]; found {
		return false
	}
	delete(s.ids, s.ring[s.next])
	s.ring[s.next] = id
	s.next = (s.next + 1) % len(s.ring)
	s.ids[id] = struct{}{}
	return true
}

// Has tells whether an id was kept.
func (s *Seen) Has(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, found := s.ids[id]
	return found
}

func notRun(kind defect.Kind, setup uint64) *schema.Carried {
	return &schema.Carried{Ending: schema.Ending_ENDING_NOT_RUN, Defect: string(kind), Setup: setup}
}

func unknown(kind defect.Kind) *schema.Carried {
	return &schema.Carried{Ending: schema.Ending_ENDING_UNKNOWN, Defect: string(kind)}
}
