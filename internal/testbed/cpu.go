package testbed

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const userField, systemField = 14 - 3, 15 - 3 // the first after the name is field 3
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
