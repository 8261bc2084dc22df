package store

import (
	"errors"
	"maps"
	"slices"
)

// faultyFileSystem is a file system whose power can be lost at any operation, or whose writes can fail. After a power
// loss a file has what its last sync covered; each later write may be there, missing or torn. A new file is durable once
// it is synced itself; a removal once the directory is synced.
type faultyFileSystem struct {
	visible       map[string]*faultyFile // as a process sees it
	durable       map[string]*faultyFile // the names that survive a power loss; the files are the same
	refusesWrites bool
	operations    int // so far
	powerLossAt   int // the operation after which power is lost; 0 for never
}

// faultyFile is a file with the changes that are not durable.
type faultyFile struct {
	fileSystem  *faultyFileSystem
	synced      []byte
	unsynced    []fileChange // in order
	nameDurable bool         // a sync has made its name durable
}

// fileChange is data written at the end or, unless newSize is -1, a truncation.
type fileChange struct {
	data    []byte
	newSize int
}

var errPower = errors.New("power is lost")

func newFaultyFileSystem() *faultyFileSystem {
	return &faultyFileSystem{visible: map[string]*faultyFile{}, durable: map[string]*faultyFile{}}
}

// operation counts an operation; its error means that the operation may or may not have taken effect.
func (f *faultyFileSystem) operation() error {
	f.operations++
	if f.powerLossAt > 0 && f.operations > f.powerLossAt {
		return errPower
	}
	if f.refusesWrites {
		return errors.New("refused")
	}
	return nil
}

func (f *faultyFileSystem) list() ([]string, error) { return slices.Sorted(maps.Keys(f.visible)), nil }

func (f *faultyFileSystem) read(name string) ([]byte, error) {
	stored := f.visible[name]
	data := slices.Clone(stored.synced)
	for _, later := range stored.unsynced {
		if later.newSize >= 0 {
			data = data[:later.newSize]
		}
		data = append(data, later.data...)
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

// contentsAfterPowerLoss lists the contents that the file may have after a power loss; nil for a file that is gone.
func (f *faultyFile) contentsAfterPowerLoss() (contents [][]byte) {
	contents = [][]byte{slices.Clone(f.synced)}
	if !f.nameDurable {
		contents = append(contents, nil)
	}
	for _, later := range f.unsynced {
		for _, content := range slices.Clone(contents) {
			if content == nil {
				content = []byte{}
			}
			if later.newSize >= 0 {
				contents = append(contents, slices.Clone(content[:min(len(content), later.newSize)]))
				continue
			}
			size := len(later.data)
			hole := slices.Clone(later.data)
			clear(hole[size/3 : 2*size/3])
			head := slices.Clone(later.data)
			clear(head[:size/2])
			// Complete, cut at several places, with a hole, with its first half zero, and all zero.
			for _, data := range [][]byte{
				later.data,
				later.data[:1],
				later.data[:min(frameHeaderBytes, size)],
				later.data[:size/2],
				later.data[:size-1],
				hole,
				head,
				make([]byte, size),
			} {
				contents = append(contents, slices.Concat(content, data))
			}
		}
	}
	return contents
}

// statesAfterPowerLoss lists the file systems that may be found after a power loss: every combination of the files'
// contents, with each removal that is not durable done or undone.
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
			contents = append(contents, nil) // removed, if the removal lasted
		}
		contents = append(contents, current.contentsAfterPowerLoss()...)
		var next []*faultyFileSystem
		for _, drive := range states {
			for _, content := range contents {
				candidate := newFaultyFileSystem()
				for other, existing := range drive.visible {
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
