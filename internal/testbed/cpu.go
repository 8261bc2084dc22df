package testbed

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// cpuSeconds returns the CPU time in seconds that the processes of the fleet have used since their last start, by
// program.
func (r *testRun) cpuSeconds() map[string]float64 {
	seconds := map[string]float64{}
	for _, process := range r.fleet.Processes() {
		if pid := process.pid(); pid != 0 {
			seconds[filepath.Base(process.program)] += cpuSecondsOf(pid)
		}
	}
	return seconds
}

// cpuSecondsOf reads the CPU time of a process from /proc/PID/stat and returns it in seconds; 0 if it can't be read.
func cpuSecondsOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// Fields 14 and 15, counted from 1, are user and system time in hundredths of a second. Field 2, the program's name
	// in parentheses, may contain spaces, so the text is split only after it.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const userField, systemField = 14 - 3, 15 - 3 // the first field after the name is field 3
	if len(fields) <= systemField {
		return 0
	}
	user, userErr := strconv.ParseFloat(fields[userField], 64)
	system, systemErr := strconv.ParseFloat(fields[systemField], 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return (user + system) / 100
}
