package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// A replica's log is a file that begins with the whole state and goes on with what came after. When
// the state is written whole again, that begins the next file, and only once that one is synced
// does the one before go. So no name is ever changed and no file is ever shortened but for a torn
// end: whatever of these a loss of power undoes, the newest file that begins well is the log.
//
// Each write is one frame: a mark, the length and the place of its body, a checksum, the body.
// Only the last one can be torn, for the next is written once it is synced; a good frame after a
// bad one therefore means rot.

const (
	frameMagic       = "mhw1"
	frameHeaderBytes = 4 + 4 + 8 + 4 // mark, length, place, checksum
	logPrefix        = "setup-"
	logSuffix        = ".log"
	corruptPrefix    = "aside-"
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

// FileLog is a replica's log of records; what Write returned for is synced.
type FileLog struct {
	fileSystem  fileSystem
	fileNumber  uint64 // of the log's file
	file        logFile
	frameNumber uint64 // of the last frame
	failed      bool   // a write was refused: what is in the file is not known
}

// Open reads the log in a folder. A torn end, which no yes was ever given for, is dropped.
// Rot is refused with DISK_CORRUPT: the folder must then be set aside and refilled.
func Open(folder string) (*FileLog, []*schema.Record, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, errs.Wrap(err, errs.DiskFailed, "folder")
	}
	return openLog(osFileSystem(folder))
}

func logName(number uint64) string { return fmt.Sprintf("%s%012d%s", logPrefix, number, logSuffix) }

// logNumbers lists the numbers of a drive's logs, newest first.
func logNumbers(files fileSystem) ([]uint64, error) {
	names, err := files.list()
	if err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, "list")
	}
	var numbers []uint64
	for _, name := range names {
		number, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, logPrefix), logSuffix), 10, 64)
		if err == nil && name == logName(number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	return numbers, nil
}

func openLog(files fileSystem) (*FileLog, []*schema.Record, error) {
	numbers, err := logNumbers(files)
	if err != nil {
		return nil, nil, err
	}
	disk := &FileLog{fileSystem: files}
	var records []*schema.Record
	for _, number := range numbers {
		disk.fileNumber = max(disk.fileNumber, number)
		data, err := files.read(logName(number))
		if err != nil {
			return nil, nil, errs.Wrap(err, errs.DiskFailed, logName(number))
		}
		groups, validSize, corrupt := readFrames(data)
		if corrupt {
			return nil, nil, errs.New(errs.DiskCorrupt, logName(number))
		}
		// A file that does not begin well was never synced: the one before it stands.
		if len(groups) == 0 {
			continue
		}
		for _, group := range groups {
			records = append(records, group.Records...)
		}
		if err := disk.resume(number, uint64(len(groups)), validSize, len(data)); err != nil {
			return nil, nil, err
		}
		break
	}
	return disk, records, disk.removeOthers(disk.fileNumber, disk.file != nil)
}

// resume opens a log for more, without its torn end.
func (d *FileLog) resume(number, frameNumber uint64, validSize, size int) error {
	opened, err := d.fileSystem.open(logName(number))
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, logName(number))
	}
	if validSize < size {
		err = opened.truncate(int64(validSize))
	}
	// What was read may not have been synced by whoever wrote it.
	if err == nil {
		err = opened.sync()
	}
	if err != nil {
		opened.close()
		return errs.Wrap(err, errs.DiskFailed, logName(number))
	}
	d.file, d.fileNumber, d.frameNumber = opened, number, frameNumber
	return nil
}

// removeOthers lets the other logs go, for good.
func (d *FileLog) removeOthers(number uint64, keepNumber bool) error {
	numbers, err := logNumbers(d.fileSystem)
	if err != nil {
		return err
	}
	removed := false
	for _, other := range numbers {
		if keepNumber && other == number {
			continue
		}
		if err := d.fileSystem.remove(logName(other)); err != nil {
			return errs.Wrap(err, errs.DiskFailed, logName(other))
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return errs.Wrap(d.fileSystem.syncDirectory(), errs.DiskFailed, "folder")
}

// readFrames reads a log's groups and tells how far they reach.
func readFrames(data []byte) (groups []*schema.RecordGroup, validSize int, corrupt bool) {
	for {
		group, size := readFrame(data[validSize:], uint64(len(groups)+1))
		if group == nil {
			break
		}
		groups = append(groups, group)
		validSize += size
	}
	// A torn end is the last that was written: nothing good can follow it.
	for offset := validSize + 1; offset < len(data); offset++ {
		next := bytes.Index(data[offset:], []byte(frameMagic))
		if next < 0 {
			break
		}
		offset += next
		if body, frameNumber := decodeFrame(data[offset:]); body != nil && frameNumber > uint64(len(groups)+1) {
			return nil, 0, true
		}
	}
	return groups, validSize, false
}

// decodeFrame gives the body and the place of the frame that data begins with, if it is good.
func decodeFrame(data []byte) (body []byte, frameNumber uint64) {
	if len(data) < frameHeaderBytes || string(data[:4]) != frameMagic {
		return nil, 0
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > len(data)-frameHeaderBytes {
		return nil, 0
	}
	body = data[frameHeaderBytes : frameHeaderBytes+length]
	if checksum(data[4:16], body) != binary.LittleEndian.Uint32(data[16:]) {
		return nil, 0
	}
	return body, binary.LittleEndian.Uint64(data[8:])
}

func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(header), crc32.IEEETable, body)
}

func readFrame(data []byte, want uint64) (*schema.RecordGroup, int) {
	body, frameNumber := decodeFrame(data)
	if body == nil || frameNumber != want {
		return nil, 0
	}
	group := &schema.RecordGroup{}
	if proto.Unmarshal(body, group) != nil {
		return nil, 0
	}
	return group, frameHeaderBytes + len(body)
}

func encodeFrame(records []*schema.Record, frameNumber uint64) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderBytes), &schema.RecordGroup{Records: records})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "record")
	}
	copy(data, frameMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(data)-frameHeaderBytes))
	binary.LittleEndian.PutUint64(data[8:], frameNumber)
	binary.LittleEndian.PutUint32(data[16:], checksum(data[4:16], data[frameHeaderBytes:]))
	return data, nil
}

// Write appends records and syncs them, all at once or none. Whole means that the last is the
// whole state: with it a new file begins, and what was before goes.
//
// After an error it is not known what is on the disk, so that nothing may follow it: only a whole
// state is taken from then on.
func (d *FileLog) Write(records []*schema.Record, replacesLog bool) error {
	if replacesLog {
		return d.beginFile(records[len(records)-1])
	}
	if d.failed {
		return errs.New(errs.DiskFailed, "an earlier write was refused")
	}
	if d.file == nil {
		return d.beginFile(records...)
	}
	err := d.writeFrame(records)
	d.failed = err != nil
	return err
}

// writeFrame writes one frame and syncs it.
func (d *FileLog) writeFrame(records []*schema.Record) error {
	data, err := encodeFrame(records, d.frameNumber+1)
	if err != nil {
		return err
	}
	if err = d.file.write(data); err == nil {
		err = d.file.sync()
	}
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, "write")
	}
	d.frameNumber++
	return nil
}

// beginFile lets the next file be the log.
func (d *FileLog) beginFile(records ...*schema.Record) error {
	if d.file != nil {
		d.file.close()
	}
	d.file, d.failed = nil, true
	d.fileNumber++
	created, err := d.fileSystem.create(logName(d.fileNumber))
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, logName(d.fileNumber))
	}
	d.file, d.frameNumber = created, 0
	if err := d.writeFrame(records); err != nil {
		return err
	}
	if err := d.removeOthers(d.fileNumber, true); err != nil {
		return err
	}
	d.failed = false
	return nil
}

// Close lets go of the file.
func (d *FileLog) Close() error {
	if d.file == nil {
		return nil
	}
	return errs.Wrap(d.file.close(), errs.DiskFailed, "close")
}

// SetAside moves corrupt logs out of the way, kept for whoever wants to look at them; of earlier
// ones none is kept.
func SetAside(folder string) error {
	files := osFileSystem(folder)
	names, err := files.list()
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, "list")
	}
	for _, name := range names {
		if strings.HasPrefix(name, corruptPrefix) {
			if err := files.remove(name); err != nil {
				return errs.Wrap(err, errs.DiskFailed, name)
			}
		}
	}
	numbers, err := logNumbers(files)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if err := files.rename(logName(number), corruptPrefix+logName(number)); err != nil {
			return errs.Wrap(err, errs.DiskFailed, logName(number))
		}
	}
	return errs.Wrap(files.syncDirectory(), errs.DiskFailed, "folder")
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

func (p osFile) sync() error  { return p.File.Sync() }
func (p osFile) close() error { return p.File.Close() }
