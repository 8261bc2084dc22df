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

	"meadowhinge/internal/defect"
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
	frameMark   = "mhw1"
	headBytes   = 4 + 4 + 8 + 4 // mark, length, place, checksum
	logPrefix   = "setup-"
	logSuffix   = ".log"
	asidePrefix = "aside-"
)

// drive is a folder of files as a log needs it, so that a test can lose its power.
type drive interface {
	list() ([]string, error)
	read(name string) ([]byte, error)
	// create begins an empty file, in place of one that may be there.
	create(name string) (file, error)
	open(name string) (file, error)
	remove(name string) error
	rename(from, to string) error
	// syncNames lets removals and renames last.
	syncNames() error
}

// file is written at its end.
type file interface {
	write(data []byte) error
	truncate(size int64) error
	sync() error
	close() error
}

// Disk is a replica's log of records; what Write returned for is synced.
type Disk struct {
	drive  drive
	number uint64 // of the log's file
	file   file
	place  uint64 // of the last frame
	spoilt bool   // a write was refused: what is in the file is not known
}

// Open reads the log in a folder. A torn end, which no yes was ever given for, is dropped.
// Rot is refused with DISK_CORRUPT: the folder must then be set aside and refilled.
func Open(folder string) (*Disk, []*schema.Record, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, defect.Wrap(err, defect.DiskFailed, "folder")
	}
	return openDrive(folderDrive(folder))
}

func logName(number uint64) string { return fmt.Sprintf("%s%012d%s", logPrefix, number, logSuffix) }

// logsOn lists the numbers of a drive's logs, newest first.
func logsOn(on drive) ([]uint64, error) {
	names, err := on.list()
	if err != nil {
		return nil, defect.Wrap(err, defect.DiskFailed, "list")
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

func openDrive(on drive) (*Disk, []*schema.Record, error) {
	numbers, err := logsOn(on)
	if err != nil {
		return nil, nil, err
	}
	disk := &Disk{drive: on}
	var records []*schema.Record
	for _, number := range numbers {
		disk.number = max(disk.number, number)
		data, err := on.read(logName(number))
		if err != nil {
			return nil, nil, defect.Wrap(err, defect.DiskFailed, logName(number))
		}
		groups, whole, rotten := readFrames(data)
		if rotten {
			return nil, nil, defect.New(defect.DiskCorrupt, logName(number))
		}
		// A file that does not begin well was never synced: the one before it stands.
		if len(groups) == 0 {
			continue
		}
		for _, group := range groups {
			records = append(records, group.Records...)
		}
		if err := disk.goOn(number, uint64(len(groups)), whole, len(data)); err != nil {
			return nil, nil, err
		}
		break
	}
	return disk, records, disk.removeBut(disk.number, disk.file != nil)
}

// goOn opens a log for more, without its torn end.
func (d *Disk) goOn(number, place uint64, whole, size int) error {
	opened, err := d.drive.open(logName(number))
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, logName(number))
	}
	if whole < size {
		err = opened.truncate(int64(whole))
	}
	// What was read may not have been synced by whoever wrote it.
	if err == nil {
		err = opened.sync()
	}
	if err != nil {
		opened.close()
		return defect.Wrap(err, defect.DiskFailed, logName(number))
	}
	d.file, d.number, d.place = opened, number, place
	return nil
}

// removeBut lets the other logs go, for good.
func (d *Disk) removeBut(number uint64, keep bool) error {
	numbers, err := logsOn(d.drive)
	if err != nil {
		return err
	}
	removed := false
	for _, other := range numbers {
		if keep && other == number {
			continue
		}
		if err := d.drive.remove(logName(other)); err != nil {
			return defect.Wrap(err, defect.DiskFailed, logName(other))
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return defect.Wrap(d.drive.syncNames(), defect.DiskFailed, "folder")
}

// readFrames reads a log's groups and tells how far they reach.
func readFrames(data []byte) (groups []*schema.Group, whole int, rotten bool) {
	for {
		group, size := readFrame(data[whole:], uint64(len(groups)+1))
		if group == nil {
			break
		}
		groups = append(groups, group)
		whole += size
	}
	// A torn end is the last that was written: nothing good can follow it.
	for at := whole + 1; at < len(data); at++ {
		next := bytes.Index(data[at:], []byte(frameMark))
		if next < 0 {
			break
		}
		at += next
		if body, place := frameAt(data[at:]); body != nil && place > uint64(len(groups)+1) {
			return nil, 0, true
		}
	}
	return groups, whole, false
}

// frameAt gives the body and the place of the frame that data begins with, if it is good.
func frameAt(data []byte) (body []byte, place uint64) {
	if len(data) < headBytes || string(data[:4]) != frameMark {
		return nil, 0
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > len(data)-headBytes {
		return nil, 0
	}
	body = data[headBytes : headBytes+length]
	if checksum(data[4:16], body) != binary.LittleEndian.Uint32(data[16:]) {
		return nil, 0
	}
	return body, binary.LittleEndian.Uint64(data[8:])
}

func checksum(head, body []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(head), crc32.IEEETable, body)
}

func readFrame(data []byte, want uint64) (*schema.Group, int) {
	body, place := frameAt(data)
	if body == nil || place != want {
		return nil, 0
	}
	group := &schema.Group{}
	if proto.Unmarshal(body, group) != nil {
		return nil, 0
	}
	return group, headBytes + len(body)
}

func frame(records []*schema.Record, place uint64) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headBytes), &schema.Group{Records: records})
	if err != nil {
		return nil, defect.Wrap(err, defect.Internal, "record")
	}
	copy(data, frameMark)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(data)-headBytes))
	binary.LittleEndian.PutUint64(data[8:], place)
	binary.LittleEndian.PutUint32(data[16:], checksum(data[4:16], data[headBytes:]))
	return data, nil
}

// Write appends records and syncs them, all at once or none. Whole means that the last is the
// whole state: with it a new file begins, and what was before goes.
//
// After an error it is not known what is on the disk, so that nothing may follow it: only a whole
// state is taken from then on.
func (d *Disk) Write(records []*schema.Record, whole bool) error {
	if whole {
		return d.begin(records[len(records)-1])
	}
	if d.spoilt {
		return defect.New(defect.DiskFailed, "an earlier write was refused")
	}
	if d.file == nil {
		return d.begin(records...)
	}
	err := d.put(records)
	d.spoilt = err != nil
	return err
}

// put writes one frame and syncs it.
func (d *Disk) put(records []*schema.Record) error {
	data, err := frame(records, d.place+1)
	if err != nil {
		return err
	}
	if err = d.file.write(data); err == nil {
		err = d.file.sync()
	}
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, "write")
	}
	d.place++
	return nil
}

// begin lets the next file be the log.
func (d *Disk) begin(records ...*schema.Record) error {
	if d.file != nil {
		d.file.close()
	}
	d.file, d.spoilt = nil, true
	d.number++
	created, err := d.drive.create(logName(d.number))
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, logName(d.number))
	}
	d.file, d.place = created, 0
	if err := d.put(records); err != nil {
		return err
	}
	if err := d.removeBut(d.number, true); err != nil {
		return err
	}
	d.spoilt = false
	return nil
}

// Close lets go of the file.
func (d *Disk) Close() error {
	if d.file == nil {
		return nil
	}
	return defect.Wrap(d.file.close(), defect.DiskFailed, "close")
}

// SetAside moves corrupt logs out of the way, kept for whoever wants to look at them; of earlier
// ones none is kept.
func SetAside(folder string) error {
	on := folderDrive(folder)
	names, err := on.list()
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, "list")
	}
	for _, name := range names {
		if strings.HasPrefix(name, asidePrefix) {
			if err := on.remove(name); err != nil {
				return defect.Wrap(err, defect.DiskFailed, name)
			}
		}
	}
	numbers, err := logsOn(on)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if err := on.rename(logName(number), asidePrefix+logName(number)); err != nil {
			return defect.Wrap(err, defect.DiskFailed, logName(number))
		}
	}
	return defect.Wrap(on.syncNames(), defect.DiskFailed, "folder")
}

// folderDrive is a folder of the machine's own files.
type folderDrive string

func (f folderDrive) path(name string) string { return filepath.Join(string(f), name) }

func (f folderDrive) list() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

func (f folderDrive) read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f folderDrive) create(name string) (file, error) {
	opened, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	return plainFile{opened}, err
}

func (f folderDrive) open(name string) (file, error) {
	opened, err := os.OpenFile(f.path(name), os.O_WRONLY, 0)
	if err == nil {
		_, err = opened.Seek(0, io.SeekEnd)
	}
	return plainFile{opened}, err
}

func (f folderDrive) remove(name string) error { return os.Remove(f.path(name)) }

func (f folderDrive) rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f folderDrive) syncNames() error {
	handle, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}

type plainFile struct{ *os.File }

func (p plainFile) write(data []byte) error {
	_, err := p.File.Write(data)
	return err
}

func (p plainFile) truncate(size int64) error {
	if err := p.File.Truncate(size); err != nil {
		return err
	}
	_, err := p.File.Seek(size, io.SeekStart)
	return err
}

func (p plainFile) sync() error  { return p.File.Sync() }
func (p plainFile) close() error { return p.File.Close() }
