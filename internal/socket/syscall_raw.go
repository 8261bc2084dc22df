//go:build !race

package socket

import (
	"syscall"
	"unsafe"
)

// Read makes one read system call on a non-blocking socket. It returns 0 without an error at the end of the stream,
// and syscall.EAGAIN if it would block.
func Read(handle uintptr, into []byte) (int, error) {
	return rawSyscall(syscall.SYS_READ, handle, into)
}

// Write makes one write system call on a non-blocking socket. It may write only a part of from, and returns
// syscall.EAGAIN if it would block.
func Write(handle uintptr, from []byte) (int, error) {
	return rawSyscall(syscall.SYS_WRITE, handle, from)
}

// rawSyscall makes a system call without notifying the scheduler, which is safe only for calls that never block.
func rawSyscall(call, handle uintptr, data []byte) (int, error) {
	count, _, failed := syscall.RawSyscall(call, handle, uintptr(unsafe.Pointer(unsafe.SliceData(data))), uintptr(len(data)))
	if failed != 0 {
		return 0, failed
	}
	return int(count), nil
}
