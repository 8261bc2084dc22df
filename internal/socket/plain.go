//go:build !race

package socket

import (
	"syscall"
	"unsafe"
)

// Read makes one call; as Write, it is for sockets that never block.
func Read(handle uintptr, into []byte) (int, error) {
	return rawSyscall(syscall.SYS_READ, handle, into)
}

// Write makes one call.
func Write(handle uintptr, from []byte) (int, error) {
	return rawSyscall(syscall.SYS_WRITE, handle, from)
}

func rawSyscall(call, handle uintptr, data []byte) (int, error) {
	count, _, failed := syscall.RawSyscall(call, handle, uintptr(unsafe.Pointer(unsafe.SliceData(data))), uintptr(len(data)))
	if failed != 0 {
		return 0, failed
	}
	return int(count), nil
}
