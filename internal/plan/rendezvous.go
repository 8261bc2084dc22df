package plan

import (
	"hash/fnv"
	"sort"
)

// murmurMultiplier is the first multiplier of the 64-bit finalizer of MurmurHash3.
const murmurMultiplier = 0xff51afd7ed558ccd

// rendezvousOrder returns a pool ordered by rendezvous hashing (highest random weight) of a key, so that a repeated call
// reaches the worker that had the key first. Unreachable workers come last, because otherwise each call with a key of
// such a worker would be charged to the retry budget.
func rendezvousOrder(pool []Endpoint, key string, unreachable func(*Endpoint) bool) []Endpoint {
	ordered := append([]Endpoint(nil), pool...)
	weight := func(endpoint Endpoint) uint64 {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(key + "\x00" + endpoint.Instance)) // a hash never fails to write
		// The first half of the MurmurHash3 finalizer mixes the bits, because in FNV alone the last bytes have too
		// little effect.
		sum := hash.Sum64()
		sum ^= sum >> 33
		sum *= murmurMultiplier
		return sum ^ sum>>33
	}
	sort.Slice(ordered, func(i, j int) bool {
		if a, b := unreachable(&ordered[i]), unreachable(&ordered[j]); a != b {
			return b
		}
		return weight(ordered[i]) > weight(ordered[j])
	})
	return ordered
}
