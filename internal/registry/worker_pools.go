package registry

import (
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// WorkerPoolsOf returns the number of active workers of the sources and their slots, by service and version. The
// slots of a pool are zero, for unknown, if the slots of any of its workers are unknown.
func WorkerPoolsOf(sources []*schema.Source) map[[2]string]release.WorkerPool {
	pools := map[[2]string]release.WorkerPool{}
	slotsUnknown := map[[2]string]bool{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			if !isActive(worker) {
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

// isActive reports whether a worker is neither draining nor terminated.
func isActive(worker *schema.Worker) bool { return !worker.Draining && !worker.Terminated }
