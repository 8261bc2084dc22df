package store

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

const (
	frameMagic       = "mhw1"
	frameHeaderBytes = 4 + 4 + 8 + 4 // mark, length, place, checksum
	logPrefix        = "setup-"
	logSuffix        = ".log"
	corruptPrefix    = "aside-"
)

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
