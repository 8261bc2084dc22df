package store

import (
	"errors"
	"maps"
	"slices"
)

// faultyFileSystem simulates a file system on which power can be lost at any operation, or writes can fail. After a
// power loss a file has the content of its last sync. Each later write may be present, missing or torn. The name of a
// new file is durable once the file is synced, and a removal once the directory is synced.
type faultyFileSystem struct {
	visible     map[string]*faultyFile // the files that a process sees, by name
	durable     map[string]*faultyFile // the files whose names survive a power loss; shares the files of visible
	failWrites  bool                   // every operation fails
	operations  int                    // number of operations so far
	powerLossAt int                    // the last operation before power is lost; 0 for never
}

// faultyFile is a file together with its changes that are not durable yet.
type faultyFile struct {
	fileSystem  *faultyFileSystem
	synced      []byte       // the content at the last sync
	unsynced    []fileChange // the changes since then, in order
	nameDurable bool         // a sync has made the name durable
}

// fileChange is a truncation of a file to newSize bytes, or an append of data if newSize is -1.
type fileChange struct {
	data    []byte
	newSize int
}

// errPowerLost is the error of every operation after the power loss.
var errPowerLost = errors.New("simulated power loss")

// newFaultyFileSystem returns an empty file system on which nothing fails.
func newFaultyFileSystem() *faultyFileSystem {
	return &faultyFileSystem{visible: map[string]*faultyFile{}, durable: map[string]*faultyFile{}}
}

// operation counts an operation that may fail. If it returns an error, the operation may or may not have taken effect.
func (f *faultyFileSystem) operation() error {
	f.operations++
	if f.powerLossAt > 0 && f.operations > f.powerLossAt {
		return errPowerLost
	}
	if f.failWrites {
		return errors.New("simulated write failure")
	}
	return nil
}

func (f *faultyFileSystem) list() ([]string, error) { return slices.Sorted(maps.Keys(f.visible)), nil }

func (f *faultyFileSystem) read(name string) ([]byte, error) {
	stored := f.visible[name]
	data := slices.Clone(stored.synced)
	for _, change := range stored.unsynced {
		if change.newSize >= 0 {
			data = data[:change.newSize]
		}
		data = append(data, change.data...)
	}
	return data, nil
}

func (f *faultyFileSystem) create(name string) (logFile, error) {
	if err := f.operation(); err != nil {
		return nil, err
	}
	f.visible[name] = &faultyFile{fileSystem: f}
	return &faultyHandle{f.visible[name], name}, nil
}

func (f *faultyFileSystem) open(name string) (logFile, error) {
	return &faultyHandle{f.visible[name], name}, nil
}

func (f *faultyFileSystem) remove(name string) error {
	if err := f.operation(); err != nil {
		return err
	}
	delete(f.visible, name)
	return nil
}

func (f *faultyFileSystem) rename(from, to string) error {
	f.visible[to] = f.visible[from]
	delete(f.visible, from)
	return nil
}

func (f *faultyFileSystem) syncDirectory() error {
	if err := f.operation(); err != nil {
		return err
	}
	maps.DeleteFunc(f.durable, func(name string, _ *faultyFile) bool { return f.visible[name] == nil })
	return nil
}

// faultyHandle is a faultyFile open for appending.
type faultyHandle struct {
	*faultyFile
	name string
}

func (h *faultyHandle) write(data []byte) error {
	h.unsynced = append(h.unsynced, fileChange{data: slices.Clone(data), newSize: -1})
	return h.fileSystem.operation()
}

func (h *faultyHandle) truncate(size int64) error {
	h.unsynced = append(h.unsynced, fileChange{newSize: int(size)})
	return h.fileSystem.operation()
}

func (h *faultyHandle) sync() error {
	if err := h.fileSystem.operation(); err != nil {
		return err
	}
	h.synced, _ = h.fileSystem.read(h.name)
	h.unsynced, h.nameDurable = nil, true
	h.fileSystem.durable[h.name] = h.faultyFile
	return nil
}

func (h *faultyHandle) close() error { return nil }

// contentsAfterPowerLoss returns the contents that the file may have after a power loss; nil stands for a missing file.
func (f *faultyFile) contentsAfterPowerLoss() (contents [][]byte) {
	contents = [][]byte{slices.Clone(f.synced)}
	if !f.nameDurable {
		contents = append(contents, nil)
	}
	for _, change := range f.unsynced {
		for _, content := range slices.Clone(contents) {
			if content == nil {
				content = []byte{}
			}
			if change.newSize >= 0 {
				contents = append(contents, slices.Clone(content[:min(len(content), change.newSize)]))
				continue
			}
			size := len(change.data)
			middleZeroed := slices.Clone(change.data)
			clear(middleZeroed[size/3 : 2*size/3])
			firstHalfZeroed := slices.Clone(change.data)
			clear(firstHalfZeroed[:size/2])
			// The data may be complete, truncated at several places, zeroed in part, or all zero.
			for _, data := range [][]byte{
				change.data,
				change.data[:1],
				change.data[:min(frameHeaderBytes, size)],
				change.data[:size/2],
				change.data[:size-1],
				middleZeroed,
				firstHalfZeroed,
				make([]byte, size),
			} {
				contents = append(contents, slices.Concat(content, data))
			}
		}
	}
	return contents
}

// statesAfterPowerLoss returns the file systems that may be found after a power loss: every combination of the contents
// of the files, with each removal that is not durable either done or undone.
func (f *faultyFileSystem) statesAfterPowerLoss() (states []*faultyFileSystem) {
	states = []*faultyFileSystem{newFaultyFileSystem()}
	names := map[string]bool{}
	for name := range f.visible {
		names[name] = true
	}
	for name := range f.durable {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		current := f.visible[name]
		contents := [][]byte{}
		if current == nil {
			current = f.durable[name]
			contents = append(contents, nil) // the removal has become durable
		}
		contents = append(contents, current.contentsAfterPowerLoss()...)
		var next []*faultyFileSystem
		for _, partial := range states {
			for _, content := range contents {
				candidate := newFaultyFileSystem()
				for other, existing := range partial.visible {
					candidate.visible[other] = &faultyFile{fileSystem: candidate, synced: existing.synced, nameDurable: true}
					candidate.durable[other] = candidate.visible[other]
				}
				if content != nil {
					candidate.visible[name] = &faultyFile{fileSystem: candidate, synced: content, nameDurable: true}
					candidate.durable[name] = candidate.visible[name]
				}
				next = append(next, candidate)
			}
		}
		states = next
	}
	return states
}
