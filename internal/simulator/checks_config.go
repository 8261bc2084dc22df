package simulator

import (
	"fmt"
	"hash/fnv"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// observeMember holds what a seat shows against what anyone ever showed.
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

// observeProxy holds what a proxy uses against what anyone ever showed.
func (h *History) observeProxy(now time.Duration, node *proxyNode) {
	view := node.journal.View()
	if h.world.seededFault != SeededNoAuthorization {
		h.checkContent(now, node.name, view.ConfigRevision(), view.Items())
	}
}

// checkContent compares what stands at a sequence: each item by the change that took it. Removed
// items count as absent, for copies let go of their tombstones at different times.
func (h *History) checkContent(now time.Duration, name string, sequence uint64, state config.State) {
	sum := fnv.New64a()
	for _, item := range state.Items() {
		if !item.Deleted {
			fmt.Fprintf(sum, "%s/%s@%d ", item.Kind, item.Name, item.Version.Sequence)
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
		h.recordBreach(RuleDivergedState, "%v: %s shows %q; another showed %q", now, name, fingerprint, existing)
	}
}

// recordRuling notes what an operator was told of a change; it may never be told otherwise later.
func (h *History) recordRuling(now time.Duration, id string, ruling schema.Ruling) {
	if ruling == schema.Ruling_RULING_UNKNOWN {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if existing, found := h.rulings[id]; found && existing != ruling {
		h.recordBreach(RuleRulingChanged, "%v: %s was %v and is now %v", now, id, existing, ruling)
	}
	h.rulings[id] = ruling
	if ruling != schema.Ruling_RULING_ACCEPTED {
		h.RefusedChanges++
	}
}
