package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// smallMemoryMB is the memory of most machines of the small deployment.
const smallMemoryMB = 674

// memoryKB returns the resident memory of a process, now and at its peak.
func memoryKB(pid int) (now, peak int64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		value, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = value
		case "VmHWM:":
			peak = value
		}
	}
	return now, peak
}

// enforceMemory kills a process that exceeds its machine's memory, as the platform does.
func (m *machine) enforceMemory(ctx context.Context, limitMB int) {
	for ctx.Err() == nil {
		pid := m.pid()
		now, peak := memoryKB(pid)
		if peak > m.peakKB.Load() {
			m.peakKB.Store(peak)
		}
		if now > int64(limitMB)<<10 {
			m.overEnds.Add(1)
			m.world.rec.log("%s: process %d uses %d MB, more than %d: the platform kills it", m.name, pid, now>>10, limitMB)
			m.signal(syscall.SIGKILL)
			pause(ctx, time.Second)
		}
		pause(ctx, 5*time.Millisecond)
	}
}
