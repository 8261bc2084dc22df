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

// The write-ahead log of a replica is one file in its data folder: a record that is complete by itself (a
// snapshot, or the initial record), and the records after it. A record that replaces the log begins the next file,
// and only once that is durable is the file before it removed.
//
// So no file is ever renamed over another, and none is shortened but for a torn tail. Whatever of these operations
// a power loss undoes, the newest file that begins with a valid frame is the log.

const (
	logPrefix     = "setup-" // before the number of the file; as existing data folders have it
	logSuffix     = ".log"
	corruptPrefix = "aside-" // before the name of a log file that SetAside renamed
)

// errEarlierWriteFailed refuses a write after a failed one: what is on disk is not known.
var errEarlierWriteFailed = errs.New(errs.DiskFailed, "an earlier write was refused")

// FileLog is the write-ahead log of a replica in a data folder. It is not safe for concurrent use; the disk writer
// owns it.
type FileLog struct {
	fileSystem  fileSystem
	fileNumber  uint64  // of the newest file
	file        logFile // nil until the first write to an empty folder
	frameNumber uint64  // of the last frame in file
	failed      bool    // a write failed since the last one that replaced the log
}

// Open opens the log in a data folder, which it creates if need be, and returns its records in the order of
// writing. A torn tail is cut off: its write never returned, so nothing of it was acknowledged.
//
// Its errors have the codes errs.DiskFailed and, where the log is corrupt, errs.DiskCorrupt: the caller then moves
// the log away by SetAside and has the replica restored from the other members.
func Open(folder string) (*FileLog, []*schema.Record, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, errs.Wrap(err, errs.DiskFailed, "folder")
	}
	return openLog(osFileSystem(folder))
}

// openLog reads the newest log file that begins with a valid frame, and removes all others.
func openLog(files fileSystem) (*FileLog, []*schema.Record, error) {
	numbers, err := logNumbers(files)
	if err != nil {
		return nil, nil, err
	}
	log := &FileLog{fileSystem: files}
	var records []*schema.Record
	for _, number := range numbers {
		log.fileNumber = max(log.fileNumber, number)
		data, err := files.read(logName(number))
		if err != nil {
			return nil, nil, errs.Wrap(err, errs.DiskFailed, logName(number))
		}
		groups, validSize, corrupt := readFrames(data)
		if corrupt {
			return nil, nil, errs.New(errs.DiskCorrupt, logName(number))
		}
		// A file without a valid first frame never became durable, so the one before it was not removed.
		if len(groups) == 0 {
			continue
		}
		for _, group := range groups {
			records = append(records, group.Records...)
		}
		if err := log.resume(number, uint64(len(groups)), validSize, len(data)); err != nil {
			return nil, nil, err
		}
		break
	}
	return log, records, log.removeOthers(log.fileNumber, log.file != nil)
}

// resume opens a log file for appending and cuts off its torn tail. Sizes are in bytes.
func (l *FileLog) resume(number, frameNumber uint64, validSize, size int) error {
	opened, err := l.fileSystem.open(logName(number))
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, logName(number))
	}
	if validSize < size {
		err = opened.truncate(int64(validSize))
	}
	// The process that wrote the last frame may have ended before it was synced: it was read from the page cache.
	if err == nil {
		err = opened.sync()
	}
	if err != nil {
		_ = opened.close() // the earlier error is the one to report
		return errs.Wrap(err, errs.DiskFailed, logName(number))
	}
	l.file, l.fileNumber, l.frameNumber = opened, number, frameNumber
	return nil
}

// Write appends records and returns once they are durable, all or none of them. With replacesLog the last record is
// complete by itself: it begins a new file, and everything before it is removed.
//
// After an error (errs.DiskFailed) it is not known what is on disk, so Write fails until one with replacesLog
// succeeds.
func (l *FileLog) Write(records []*schema.Record, replacesLog bool) error {
	if replacesLog {
		return l.beginFile(records[len(records)-1])
	}
	if l.failed {
		return errEarlierWriteFailed
	}
	if l.file == nil {
		return l.beginFile(records...)
	}
	err := l.writeFrame(records)
	l.failed = err != nil
	return err
}

// writeFrame appends one frame and syncs the file.
func (l *FileLog) writeFrame(records []*schema.Record) error {
	data, err := encodeFrame(records, l.frameNumber+1)
	if err != nil {
		return err
	}
	if err = l.file.write(data); err == nil {
		err = l.file.sync()
	}
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, "write")
	}
	l.frameNumber++
	return nil
}

// beginFile makes a new file, with these records as its first frame, the log.
func (l *FileLog) beginFile(records ...*schema.Record) error {
	if l.file != nil {
		_ = l.file.close() // nothing more is written to it, and the new file replaces what is in it
	}
	l.file, l.failed = nil, true
	l.fileNumber++
	created, err := l.fileSystem.create(logName(l.fileNumber))
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, logName(l.fileNumber))
	}
	l.file, l.frameNumber = created, 0
	if err := l.writeFrame(records); err != nil {
		return err
	}
	if err := l.removeOthers(l.fileNumber, true); err != nil {
		return err
	}
	l.failed = false
	return nil
}

// removeOthers removes the log files but for one number, that one too unless keepNumber, and makes the removals
// durable. With nothing to remove the folder is not synced: the log relies on a file's own sync to make its name durable
// too, as ext4 and XFS do.
func (l *FileLog) removeOthers(number uint64, keepNumber bool) error {
	numbers, err := logNumbers(l.fileSystem)
	if err != nil {
		return err
	}
	removed := false
	for _, other := range numbers {
		if keepNumber && other == number {
			continue
		}
		if err := l.fileSystem.remove(logName(other)); err != nil {
			return errs.Wrap(err, errs.DiskFailed, logName(other))
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return errs.Wrap(l.fileSystem.syncDirectory(), errs.DiskFailed, "folder")
}

// Close closes the log file. Everything that Write returned for is durable already.
func (l *FileLog) Close() error {
	if l.file == nil {
		return nil
	}
	return errs.Wrap(l.file.close(), errs.DiskFailed, "close")
}

// SetAside renames the log files of a data folder, so that the folder counts as empty and the corrupt log can be
// examined. Files that were set aside earlier are removed. Its errors have the code errs.DiskFailed.
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

// logName is the name of a log file.
func logName(number uint64) string { return fmt.Sprintf("%s%012d%s", logPrefix, number, logSuffix) }

// logNumbers lists the numbers of the log files in a folder, newest first.
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
