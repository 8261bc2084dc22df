package testbed

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"meadowhinge/internal/daemon"
)

// Sample is the resource usage of a program at one time. Each value is the largest among the program's processes.
type Sample struct {
	At         time.Duration `json:"at"`         // time since the run began
	Program    string        `json:"program"`    // proxy, registry or store
	MemoryKB   int           `json:"memoryKB"`   // resident memory
	Files      int           `json:"files"`      // number of open files
	Goroutines int           `json:"goroutines"` // number of goroutines
	DiskKB     int           `json:"diskKB"`     // size of the files in the data folder
}

// sampleInterval is the time between two samples.
const sampleInterval = 5 * time.Second

// sampleResources adds a sample of each program to r.resources at each interval, until stop closes.
func (r *testRun) sampleResources(stop <-chan struct{}) {
	for {
		largest := map[string]*Sample{}
		for _, process := range r.fleet.Processes() {
			program, _, _ := strings.Cut(process.Name, "/")
			sample := largest[program]
			if sample == nil {
				sample = &Sample{At: r.now(), Program: program}
				largest[program] = sample
			}
			process.raiseToUsage(sample)
		}
		for _, sample := range largest {
			r.resources = append(r.resources, *sample)
		}
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// raiseToUsage raises each value of a sample to the current usage of the process, if that is larger. Values that can't be
// read, for example because the process was killed, are left as they are.
func (p *Process) raiseToUsage(sample *Sample) {
	pid := p.pid()
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if value, found := strings.CutPrefix(line, "VmRSS:"); found {
				var kilobytes int
				_, _ = fmt.Sscan(value, &kilobytes)
				sample.MemoryKB = max(sample.MemoryKB, kilobytes)
			}
		}
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		sample.Files = max(sample.Files, len(files))
	}
	var process daemon.Process
	if p.getPage("/process", &process) == nil {
		sample.Goroutines = max(sample.Goroutines, process.Goroutines)
	}
	bytes := int64(0)
	_ = filepath.WalkDir(filepath.Join(filepath.Dir(p.settingsFile), "data"), func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			bytes += info.Size()
		}
		return nil
	})
	sample.DiskKB = max(sample.DiskKB, int(bytes>>10))
}

// formatGrowth formats a program's samples after one third of the run, after two thirds, and at the end.
func formatGrowth(samples []Sample, program string) string {
	var ofProgram []Sample
	for _, sample := range samples {
		if sample.Program == program {
			ofProgram = append(ofProgram, sample)
		}
	}
	if len(ofProgram) < 3 {
		return "too short to tell"
	}
	var parts []string
	for _, index := range []int{len(ofProgram) / 3, 2 * len(ofProgram) / 3, len(ofProgram) - 1} {
		sample := ofProgram[index]
		parts = append(parts, fmt.Sprintf("%d MB, %d files, %d goroutines, %d KB on disk",
			sample.MemoryKB>>10, sample.Files, sample.Goroutines, sample.DiskKB))
	}
	return strings.Join(parts, "; ")
}
