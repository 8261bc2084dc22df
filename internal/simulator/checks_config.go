package simulator

import (
	"fmt"
	"hash/fnv"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// observeMember records the committed revision of a member and checks its content, if the revision has changed.
func (w *World) observeMember(node *memberNode) {
	committed, state := node.replica.Committed()
	h := w.History
	h.lock.Lock()
	previous := h.shownRevisions[node.name]
	changed := len(previous) == 0 || previous[len(previous)-1].revision != committed
	if changed {
		h.shownRevisions[node.name] = append(previous, revisionAt{w.now, committed})
	}
	h.lock.Unlock()
	if changed {
		h.checkContent(w.now, node.name, committed, state)
	}
}

// observeProxy checks the content of the configuration that a proxy uses.
func (h *History) observeProxy(now time.Duration, node *proxyNode) {
	view := node.journal.View()
	if h.world.seededFault != SeededNoAuthorization {
		h.checkContent(now, node.name, view.ConfigRevision(), view.Items())
	}
}

// checkContent checks that a process shows the same content at a sequence as every other process. It compares items
// by the sequence of the change that set them. Deleted items count as absent, because copies purge their tombstones
// at different times.
func (h *History) checkContent(now time.Duration, name string, sequence uint64, state config.State) {
	sum := fnv.New64a()
	for _, item := range state.Items() {
		if !item.Deleted {
			_, _ = fmt.Fprintf(sum, "%s/%s@%d ", item.Kind, item.Name, item.Version.Sequence) // writing to a hash never fails
		}
	}
	fingerprint := fmt.Sprint(sequence, ":", sum.Sum64())
	h.lock.Lock()
	defer h.lock.Unlock()
	if purgedUpTo := state.PurgedUpTo(); purgedUpTo > h.purgedUpTo {
		h.purgedUpTo = purgedUpTo
		h.Purges++
	}
	tombstones, _ := state.Tombstones()
	h.MaxTombstones = max(h.MaxTombstones, tombstones)
	if existing, found := h.contentBySequence[sequence]; !found {
		h.contentBySequence[sequence] = fingerprint
	} else if existing != fingerprint {
		h.recordViolation(ViolationDivergedState, "%v: %s has content %q; another process has %q", now, name, fingerprint, existing)
	}
}

// recordRuling records the ruling on a change and checks that the change had no other ruling before.
func (h *History) recordRuling(now time.Duration, id string, ruling schema.Ruling) {
	if ruling == schema.Ruling_RULING_UNKNOWN {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if existing, found := h.rulings[id]; found && existing != ruling {
		h.recordViolation(ViolationRulingChanged, "%v: the ruling on change %s was %v and is now %v", now, id, existing, ruling)
	}
	h.rulings[id] = ruling
	if ruling != schema.Ruling_RULING_ACCEPTED {
		h.RefusedChanges++
	}
}
