package testbed

import (
	"fmt"
	"syscall"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// Memory of a run, from the slopes in docs/CAPACITY.md, in bytes.
const (
	memberBytes       = 700 << 10 // of a member without workers or routes
	memberWorkerBytes = 1200      // of each worker that it knows
	memberRouteBytes  = 3 << 10   // of each route that it has
	coreBytes         = 256 << 20 // of a registry and its store
	memoryDivisor     = 2         // one part in so many of the machine's memory may be used
)

// ValidateHollow lists what in the settings cannot be run on this machine, beyond the bounds of each setting.
func ValidateHollow(opts *schema.HollowOptions) options.Faults {
	return validateHollow(opts, machineMemory(), maxOpenFiles())
}

// validateHollow is ValidateHollow for a machine with so many bytes of memory and open files for a process.
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
		faults = append(faults, fmt.Sprintf("members: %d with this setup need about %d MB, and half of this machine's memory is %d MB",
			opts.Members, need>>20, have>>20))
	}
	if need := uint64(opts.Members*(opts.Seats+1)*connsPerMember) + reservedFiles; need > files {
		faults = append(faults, fmt.Sprintf("members: %d need about %d open files, and %d are allowed", opts.Members, need, files))
	}
	return faults
}

// Files that a run holds open.
const (
	connsPerMember = 2   // with each core member
	reservedFiles  = 256 // for all else
)

// requiredMemory estimates the memory of a run, in bytes.
func requiredMemory(opts *schema.HollowOptions) int64 {
	workers := max(opts.Workers, opts.Members)
	return opts.Members*(memberBytes+workers*memberWorkerBytes+opts.Routes*memberRouteBytes) + opts.Seats*coreBytes
}

// machineMemory is the machine's memory in bytes; 0 if it is not known.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxOpenFiles is how many files this process may have open; 0 if that is not known.
func maxOpenFiles() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}
