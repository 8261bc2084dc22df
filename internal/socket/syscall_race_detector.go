//go:build race

package socket

import "syscall"

// With the race detector, calls go through package syscall: the detector takes a write and the read at the other
// end for a synchronization only there.

// Read makes one read system call on a non-blocking socket. It gives 0 without an error at the end of the stream,
// and syscall.EAGAIN where it would block.
func Read(handle uintptr, into []byte) (int, error) {
	count, err := syscall.Read(int(handle), into)
	return max(0, count), err
}

// Write makes one write system call on a non-blocking socket. It may write less than all of from.
func Write(handle uintptr, from []byte) (int, error) {
	count, err := syscall.Write(int(handle), from)
	return max(0, count), err
}
