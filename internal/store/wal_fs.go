package store

import (
	"io"
	"os"
	"path/filepath"
)

// fileSystem is the folder that holds the log files. Tests substitute one that simulates power losses and failed writes.
type fileSystem interface {
	// list returns the names of all files in the folder.
	list() ([]string, error)
	// read returns the content of a file.
	read(name string) ([]byte, error)
	// create opens an empty file for appending. It replaces an existing file of that name.
	create(name string) (logFile, error)
	// open opens an existing file for appending.
	open(name string) (logFile, error)
	remove(name string) error
	rename(from, to string) error
	// syncDirectory makes creations, removals and renames durable.
	syncDirectory() error
}

// logFile is a file open for appending.
type logFile interface {
	// write appends data, which is durable only after a sync.
	write(data []byte) error
	// truncate shortens the file to a size in bytes; later writes append there.
	truncate(size int64) error
	// sync makes the content of the file durable. The log relies on it to make the name of a new file durable too; see
	// FileLog.removeOthers.
	sync() error
	close() error
}

// osFileSystem is a folder of the operating system; its value is the path.
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
	created, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, err
	}
	return osFile{created}, nil
}

func (f osFileSystem) open(name string) (logFile, error) {
	opened, err := os.OpenFile(f.path(name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if _, err := opened.Seek(0, io.SeekEnd); err != nil {
		_ = opened.Close() // the earlier error is the one to report
		return nil, err
	}
	return osFile{opened}, nil
}

func (f osFileSystem) remove(name string) error { return os.Remove(f.path(name)) }

func (f osFileSystem) rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f osFileSystem) syncDirectory() error {
	directory, err := os.Open(string(f))
	if err != nil {
		return err
	}
	err = directory.Sync()
	_ = directory.Close() // opened for reading: closing it writes nothing
	return err
}

// osFile is a file of the operating system.
type osFile struct{ file *os.File }

func (f osFile) write(data []byte) error {
	_, err := f.file.Write(data)
	return err
}

func (f osFile) truncate(size int64) error {
	if err := f.file.Truncate(size); err != nil {
		return err
	}
	_, err := f.file.Seek(size, io.SeekStart)
	return err
}

func (f osFile) sync() error { return f.file.Sync() }

func (f osFile) close() error { return f.file.Close() }
