package testbed

import (
	"fmt"
	"os"
	"path/filepath"
)

// cpuSeconds is the processor time that the running processes of each program have used, in seconds.
func (r *testRun) cpuSeconds() map[string]float64 {
	seconds := map[string]float64{}
	for _, process := range r.fleet.Processes() {
		if pid := process.pid(); pid != 0 {
			seconds[filepath.Base(process.program)] += cpuSecondsOf(pid)
		}
	}
	return seconds
}

// cpuSecondsOf reads a process's processor time from the kernel, in seconds; 0 if it can't be read.
func cpuSecondsOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// Fields 14 and 15 are user and system time in hundredths of a second. The name, field 2 in parentheses, may
	// hold spaces, so fields are counted from its end.
	end := 0
	for i, char := range text {
		if char == ')' {
			end = i
		}
	}
	var state string
	var skip [10]int64
	var user, system float64
	_, _ = fmt.Sscan(string(text[end+1:]), &state, &skip[0], &skip[1], &skip[2], &skip[3], &skip[4], &skip[5], &skip[6], &skip[7], &skip[8], &skip[9], &user, &system)
	return (user + system) / 100
}
