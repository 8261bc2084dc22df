package store

import (
	"io"
	"os"
	"path/filepath"
)

// fileSystem is a folder of files as a log needs it, so that a test can lose its power.
type fileSystem interface {
	list() ([]string, error)
	read(name string) ([]byte, error)
	// create begins an empty file, in place of one that may be there.
	create(name string) (logFile, error)
	open(name string) (logFile, error)
	remove(name string) error
	rename(from, to string) error
	// syncDirectory lets removals and renames last.
	syncDirectory() error
}

// logFile is written at its end.
type logFile interface {
	write(data []byte) error
	truncate(size int64) error
	sync() error
	close() error
}

// osFileSystem is a folder of the machine's own files.
type osFileSystem string

func (f osFileSystem) path(name string) string { return filepath.Join(string(f), name) }

func (f osFileSystem) list() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

func (f osFileSystem) read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f osFileSystem) create(name string) (logFile, error) {
	opened, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	return osFile{opened}, err
}

func (f osFileSystem) open(name string) (logFile, error) {
	opened, err := os.OpenFile(f.path(name), os.O_WRONLY, 0)
	if err == nil {
		_, err = opened.Seek(0, io.SeekEnd)
	}
	return osFile{opened}, err
}

func (f osFileSystem) remove(name string) error { return os.Remove(f.path(name)) }

func (f osFileSystem) rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f osFileSystem) syncDirectory() error {
	handle, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}

type osFile struct{ *os.File }

func (p osFile) write(data []byte) error {
	_, err := p.File.Write(data)
	return err
}

func (p osFile) truncate(size int64) error {
	if err := p.File.Truncate(size); err != nil {
		return err
	}
	_, err := p.File.Seek(size, io.SeekStart)
	return err
}

func (p osFile) sync() error { return p.File.Sync() }

func (p osFile) close() error { return p.File.Close() }
