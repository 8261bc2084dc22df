//go:build race

package socket

import "syscall"

// Under the race detector, reads and writes go through package syscall, because only its functions tell the detector
// that a write synchronizes with the read at the other end.

// Read makes one read system call on a non-blocking socket. It returns 0 without an error at the end of the stream,
// and syscall.EAGAIN if it would block.
func Read(handle uintptr, into []byte) (int, error) {
	count, err := syscall.Read(int(handle), into)
	return max(0, count), err
}

// Write makes one write system call on a non-blocking socket. It may write only a part of from, and returns
// syscall.EAGAIN if it would block.
func Write(handle uintptr, from []byte) (int, error) {
	count, err := syscall.Write(int(handle), from)
	return max(0, count), err
}
