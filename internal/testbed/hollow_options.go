package testbed

import (
	"fmt"
	"syscall"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// What members take of memory, from the slopes in docs/CAPACITY.md, and what stands besides.
const (
	memberBytes       = 700 << 10 // of a member that knows of nothing
	memberWorkerBytes = 1200      // of each worker that it knows of
	memberRouteBytes  = 3 << 10   // of each route that it has
	coreBytes         = 256 << 20 // of a registry and its store
	memoryDivisor     = 2         // this part of the machine's memory may be taken
)

// ValidateHollow lists what in the settings cannot be run here, beyond the bounds of each.
func ValidateHollow(opts *schema.HollowOptions) options.Faults {
	return validateHollow(opts, machineMemory(), maxOpenFiles())
}

// validateHollow is ValidateHollow for a machine of so much memory, and of so many files to a process.
func validateHollow(opts *schema.HollowOptions, memory int64, files uint64) options.Faults {
	var faults options.Faults
	if opts.Releases > opts.Services {
		faults = append(faults, fmt.Sprintf("releases: %d are more than the %d services", opts.Releases, opts.Services))
	}
	if opts.Reach > opts.Routes {
		faults = append(faults, fmt.Sprintf("reach: %d are more than the %d routes", opts.Reach, opts.Routes))
	}
	if opts.Workers > 0 && opts.Workers < opts.Services {
		faults = append(faults, fmt.Sprintf("workers: %d leave some of the %d services without one", opts.Workers, opts.Services))
	}
	losses := opts.CoresLost + opts.ZonesLost
	if need := time.Duration(losses*leasesPerLoss) * time.Duration(opts.Lease); need > time.Duration(opts.Length) {
		faults = append(faults, fmt.Sprintf("length: %v are too short for %d losses, which take %v", time.Duration(opts.Length), losses, need))
	}
	if losses > 0 && opts.Restarts > 0 {
		faults = append(faults, "restarts: cannot be run together with cores-lost and zones-lost")
	}
	if opts.CoresLost > 0 && opts.Seats < minMembersForLoss {
		faults = append(faults, fmt.Sprintf("cores-lost: of %d seats none can be lost", opts.Seats))
	}
	if need, have := requiredMemory(opts), memory/memoryDivisor; memory > 0 && need > have {
		faults = append(faults, fmt.Sprintf("members: %d with this setup need about %d MB, and half of this machine's memory is %d MB", opts.Members, need>>20, have>>20))
	}
	if need := uint64(opts.Members*(opts.Seats+1)*connsPerMember) + reservedFiles; need > files {
		faults = append(faults, fmt.Sprintf("members: %d need about %d open files, and %d are allowed", opts.Members, need, files))
	}
	return faults
}

// Files that a run holds open: links of a member to each seat at once, and all else.
const (
	connsPerMember = 2
	reservedFiles  = 256
)

func requiredMemory(opts *schema.HollowOptions) int64 {
	workers := max(opts.Workers, opts.Members)
	return opts.Members*(memberBytes+workers*memberWorkerBytes+opts.Routes*memberRouteBytes) + opts.Seats*coreBytes
}

// machineMemory is the machine's memory in bytes, 0 if it is not known.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

func maxOpenFiles() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}
