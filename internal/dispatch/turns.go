package dispatch

import (
	"sync"
	"time"
)

// keptParts is the part of the time left for which a turn is kept for a request that was enquired for.
const keptParts = 16

// turns are kept for requests that were enquired for and are on their way.
type turns struct {
	lock sync.Mutex
	kept map[string]*keptTurn
}

type keptTurn struct {
	buffer *Buffer
	now    func() time.Duration
	timer  *time.Timer
}

// back gives the turn to who waits.
func (k *keptTurn) back() { k.buffer.End(k.now(), "", Unrun, 0) }

// add keeps a turn at a buffer for a request, for a time.
func (t *turns) add(request string, buffer *Buffer, now func() time.Duration, span time.Duration) {
	fresh := &keptTurn{buffer: buffer, now: now}
	t.lock.Lock()
	defer t.lock.Unlock()
	// An enquiry that came twice waited twice; one turn is enough.
	if earlier := t.kept[request]; earlier != nil {
		earlier.timer.Stop()
		earlier.back()
	}
	t.kept[request] = fresh
	fresh.timer = time.AfterFunc(span, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		if t.kept[request] == fresh {
			delete(t.kept, request)
			fresh.back()
		}
	})
}

// take tells whether a turn at a buffer is kept for a request, and hands it over.
func (t *turns) take(request string, buffer *Buffer) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	found := t.kept[request]
	if found == nil {
		return false
	}
	found.timer.Stop()
	delete(t.kept, request)
	// It was kept at a worker that has been replaced meanwhile.
	if found.buffer != buffer {
		found.back()
		return false
	}
	return true
}
