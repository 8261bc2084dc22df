package plan

import (
	"hash/fnv"
	"sort"
)

// rendezvous orders a pool by a key, so that a repeat reaches the worker that had it first. Who
// is not reached comes last: each key would else pay for the same loss anew from the budget.
func rendezvous(pool []Endpoint, key string, unreachable func(*Endpoint) bool) []Endpoint {
	ordered := append([]Endpoint(nil), pool...)
	weight := func(endpoint Endpoint) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + endpoint.Instance))
		// A final mix, because FNV alone lets the last bytes decide too little.
		sum := hash.Sum64()
		sum ^= sum >> 33
		sum *= 0xff51afd7ed558ccd
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
