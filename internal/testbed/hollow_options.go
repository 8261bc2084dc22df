package testbed

import (
	"fmt"
	"syscall"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// Memory usage of a run in bytes, from the slopes in docs/CAPACITY.md.
const (
	memberBytes       = 700 << 10 // a member without workers and routes
	memberWorkerBytes = 1200      // each worker that a member knows
	memberRouteBytes  = 3 << 10   // each route in the configuration of a member
	coreBytes         = 256 << 20 // a registry and its store
)

// memoryDivisor limits a run to 1/memoryDivisor of the machine's memory.
const memoryDivisor = 2

// ValidateHollow returns the faults of the settings because of which a run could not be made on this machine; none if it
// can be made. It does not check the bounds of each setting, which the option parser does.
func ValidateHollow(opts *schema.HollowOptions) options.Faults {
	return validateHollow(opts, machineMemory(), maxOpenFiles())
}

// validateHollow is ValidateHollow for a machine with the given memory in bytes and the given limit of open files per
// process. A memory of 0 means unknown and is not checked.
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
		faults = append(faults, fmt.Sprintf("length: %v is too short for %d losses, which take %v", time.Duration(opts.Length), losses, need))
	}
	if losses > 0 && opts.Restarts > 0 {
		faults = append(faults, "restarts: cannot be combined with cores-lost or zones-lost")
	}
	if opts.CoresLost > 0 && opts.Seats < minMembersForLoss {
		faults = append(faults, fmt.Sprintf("cores-lost: a core of %d members cannot lose one, at least %d are needed", opts.Seats, minMembersForLoss))
	}
	if need, have := requiredMemory(opts), memory/memoryDivisor; memory > 0 && need > have {
		faults = append(faults, fmt.Sprintf("members: %d with this configuration need about %d MB, and half of this machine's memory is %d MB",
			opts.Members, need>>20, have>>20))
	}
	if need := uint64(opts.Members*(opts.Seats+1)*connsPerMember) + reservedFiles; need > files {
		faults = append(faults, fmt.Sprintf("members: %d need about %d open files, and a process may have %d", opts.Members, need, files))
	}
	return faults
}

// Open files of a run.
const (
	connsPerMember = 2   // connections of a hollow member with a core member; counted for one core member more than there is
	reservedFiles  = 256 // all other files
)

// requiredMemory returns the estimated memory usage of a run in bytes.
func requiredMemory(opts *schema.HollowOptions) int64 {
	workers := max(opts.Workers, opts.Members)
	return opts.Members*(memberBytes+workers*memberWorkerBytes+opts.Routes*memberRouteBytes) + opts.Seats*coreBytes
}

// machineMemory returns the size of the machine's memory in bytes; 0 if it is unknown.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxOpenFiles returns the number of files that this process may have open; 0 if it is unknown.
func maxOpenFiles() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}
