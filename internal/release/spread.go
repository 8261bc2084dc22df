package release

import "meadowhinge/schema"

// certainly is how unlikely failures must be at the old version's rate for a plan to be turned back
// by them, few as they are.
const certainly = 1e-6

// bySource are counts of one version's work, each as one proxy told it of the workers beside it.
type bySource map[sourceKey]Count

// sourcesOf sorts what proxies saw of a version, as it was stated, by proxy.
func sourcesOf(counts []*schema.SourceCounts, service, version string, plan uint64) bySource {
	sources := bySource{}
	for _, source := range counts {
		only := []*schema.SourceCounts{source}
		if seen := total(Gather(only, service, version, plan, "").New); seen.Calls > 0 {
			sources[sourceKey{source.Proxy, source.Incarnation}] = seen
		}
	}
	return sources
}

// since is what came after an earlier look.
func (b bySource) since(before bySource) bySource {
	lately := bySource{}
	for key, count := range b {
		lately[key] = count.less(before[key])
	}
	return lately
}

func (b bySource) total() (sum Count) {
	for _, count := range b {
		sum.add(count)
	}
	return sum
}

// failsEverywhere tells whether a version fails certainly oftener than the old one used to, and not
// on one machine alone: without the machine that failed most it still does. A machine that breaks
// fails by itself; what is wrong with a version shows wherever it runs.
func (b bySource) failsEverywhere(usual Count) bool {
	all, worst := b.total(), Count{}
	for _, count := range b {
		if count.Failures > worst.Failures {
			worst = count
		}
	}
	return unlikely(all, usual) <= certainly && unlikely(all.less(worst), usual) <= alike
}
