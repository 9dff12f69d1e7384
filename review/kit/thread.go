package main

import (
	"math/bits"
	"runtime"
	"syscall"
	"unsafe"
)

// lockThread keeps this goroutine on its thread.
func lockThread() { runtime.LockOSThread() }

// cpuSet is a set of cores, as the kernel takes it.
type cpuSet [16]uint64

// useOneCore keeps this thread, and the processes that it starts, on one of the cores that it may use: the users'
// machines have one core each. Where that cannot be done, the processes use all.
func useOneCore(n int) {
	var allowed cpuSet
	if _, _, err := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(allowed), uintptr(unsafe.Pointer(&allowed))); err != 0 {
		return
	}
	count := 0
	for _, word := range allowed {
		count += bits.OnesCount64(word)
	}
	if count == 0 {
		return
	}
	n %= count
	for cpu := range len(allowed) * 64 {
		if allowed[cpu/64]&(1<<(cpu%64)) == 0 {
			continue
		}
		if n == 0 {
			var one cpuSet
			one[cpu/64] = 1 << (cpu % 64)
			syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one)))
			return
		}
		n--
	}
}
