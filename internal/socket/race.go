//go:build race

package socket

import "syscall"

// The race detector sees what goes through sockets only in the library's own calls.

// Read makes one call.
func Read(handle uintptr, into []byte) (int, error) {
	count, err := syscall.Read(int(handle), into)
	return max(0, count), err
}

// Write makes one call.
func Write(handle uintptr, from []byte) (int, error) {
	count, err := syscall.Write(int(handle), from)
	return max(0, count), err
}
