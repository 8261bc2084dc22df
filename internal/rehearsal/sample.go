package rehearsal

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"meadowhinge/internal/daemon"
)

// Sample is what a program's processes took of the machine at a time, the largest of each.
type Sample struct {
	At         time.Duration `json:"at"`
	Program    string        `json:"program"`
	MemoryKB   int           `json:"memoryKB"` // resident
	Files      int           `json:"files"`    // open
	Goroutines int           `json:"goroutines"`
	DiskKB     int           `json:"diskKB"` // in the data folder
}

// sampleEvery is how often samples are taken.
const sampleEvery = 5 * time.Second

func (c *cast) sample(stop <-chan struct{}) {
	for {
		largest := map[string]*Sample{}
		for _, process := range c.fleet.All() {
			program, _, _ := strings.Cut(process.Name, "/")
			held := largest[program]
			if held == nil {
				held = &Sample{At: c.now(), Program: program}
				largest[program] = held
			}
			process.measure(held)
		}
		for _, one := range largest {
			c.resources = append(c.resources, *one)
		}
		select {
		case <-stop:
			return
		case <-time.After(sampleEvery):
		}
	}
}

// measure raises a sample to what one process takes now.
func (p *Process) measure(held *Sample) {
	p.lock.Lock()
	pid := 0
	if p.cmd != nil && p.cmd.Process != nil {
		pid = p.cmd.Process.Pid
	}
	p.lock.Unlock()
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if value, is := strings.CutPrefix(line, "VmRSS:"); is {
				var kilobytes int
				_, _ = fmt.Sscan(value, &kilobytes)
				held.MemoryKB = max(held.MemoryKB, kilobytes)
			}
		}
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		held.Files = max(held.Files, len(files))
	}
	if response, err := probes.Get("http://" + p.probe + "/process"); err == nil {
		var told daemon.Process
		_ = json.NewDecoder(response.Body).Decode(&told)
		response.Body.Close()
		held.Goroutines = max(held.Goroutines, told.Goroutines)
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
	held.DiskKB = max(held.DiskKB, int(bytes>>10))
}

// thirds shows how a program grew: a third through the run, two thirds, and at its end.
func thirds(samples []Sample, program string) string {
	var its []Sample
	for _, one := range samples {
		if one.Program == program {
			its = append(its, one)
		}
	}
	if len(its) < 3 {
		return "too short to tell"
	}
	var parts []string
	for _, at := range []int{len(its) / 3, 2 * len(its) / 3, len(its) - 1} {
		one := its[at]
		parts = append(parts, fmt.Sprintf("%d MB, %d files, %d goroutines, %d KB on disk", one.MemoryKB>>10, one.Files, one.Goroutines, one.DiskKB))
	}
	return strings.Join(parts, "; ")
}
