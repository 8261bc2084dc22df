package registry

import (
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// WorkerPoolsOf counts the workers of sources and their slots, by service and version. Workers that drain or have terminated are
// left out. The slots of a pool are zero, for unknown, if those of any of its workers are.
func WorkerPoolsOf(sources []*schema.Source) map[[2]string]release.WorkerPool {
	pools := map[[2]string]release.WorkerPool{}
	slotsUnknown := map[[2]string]bool{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			if !isStaying(worker) {
				continue
			}
			key := [2]string{worker.Service, worker.Version}
			slotsUnknown[key] = slotsUnknown[key] || worker.Slots == 0
			pool := pools[key]
			pool.Workers++
			pool.Slots += int(worker.Slots)
			if slotsUnknown[key] {
				pool.Slots = 0
			}
			pools[key] = pool
		}
	}
	return pools
}

// isStaying tells whether a worker neither drains nor has terminated.
func isStaying(worker *schema.Worker) bool { return !worker.Draining && !worker.Terminated }
