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

// The write-ahead log of a replica is one file in its data folder. The file begins with a record that is complete by
// itself (a snapshot, or the initial record), and the later records follow. A record that replaces the log begins the
// next file, and the previous file is removed only once the new one is durable.
//
// So no file is ever renamed over another, and none is truncated except to cut off a torn tail. Whichever of these
// operations a power loss undoes, the newest file that begins with a valid frame is the log.

const (
	logPrefix        = "setup-" // precedes the number of a log file; fixed by existing data folders
	logSuffix        = ".log"
	quarantinePrefix = "aside-" // precedes the name of a log file that QuarantineLog renamed
)

// errEarlierWriteFailed is returned for a write after a failed one, when it is not known what is on disk.
var errEarlierWriteFailed = errs.New(errs.DiskFailed, "an earlier write failed, and the log has not been replaced since")

// FileLog is the write-ahead log of a replica in a data folder. It is not safe for concurrent use; the disk writer
// owns it.
type FileLog struct {
	fileSystem  fileSystem
	fileNumber  uint64  // number of the newest file; 0 if there has been none
	file        logFile // the newest file; nil before the first write to an empty folder, or if creating a file failed
	frameNumber uint64  // number of the last frame in file; 0 if it has none
	failed      bool    // a write has failed since the last one that replaced the log
}

// Open opens the log in a data folder and returns its records in the order in which they were written. It creates the
// folder if it does not exist. A torn tail is cut off: its write never returned, so nothing in it was acknowledged.
//
// Open fails with errs.DiskCorrupt if the log is corrupt, and with errs.DiskFailed otherwise. The caller moves a corrupt
// log aside by QuarantineLog, and the replica is restored from the other members.
func Open(folder string) (*FileLog, []*schema.Record, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, errs.Wrap(err, errs.DiskFailed, fmt.Sprintf("create data folder %q", folder))
	}
	return openLog(osFileSystem(folder))
}

// openLog reads the newest log file that begins with a valid frame, and removes all other log files.
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
			return nil, nil, errs.Wrap(err, errs.DiskFailed, "read "+logName(number))
		}
		groups, validSize, corrupt := readFrames(data)
		if corrupt {
			return nil, nil, errs.New(errs.DiskCorrupt, logName(number)+" has a valid frame after an invalid one")
		}
		// A file without a valid first frame never became durable, so the previous file was not removed.
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

// resume opens a log file for appending and truncates it from size to validSize, both in bytes, if it has a torn tail.
// frameNumber is the number of its last frame.
func (l *FileLog) resume(number, frameNumber uint64, validSize, size int) error {
	opened, err := l.fileSystem.open(logName(number))
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, "open "+logName(number))
	}
	if validSize < size {
		err = opened.truncate(int64(validSize))
	}
	// The process that wrote the last frame may have ended before the sync, so the frame may have been read from the
	// page cache.
	if err == nil {
		err = opened.sync()
	}
	if err != nil {
		_ = opened.close() // the earlier error is the one to report
		return errs.Wrap(err, errs.DiskFailed, "repair "+logName(number))
	}
	l.file, l.fileNumber, l.frameNumber = opened, number, frameNumber
	return nil
}

// Write appends records and returns once they are durable. After a power loss either all of them or none are found.
// With replacesLog the last record is complete by itself: it begins a new file, and everything before it is removed.
//
// Write fails with errs.DiskFailed, or with errs.Internal if the records cannot be encoded. After an error it is not
// known what is on disk, so every later Write fails until one with replacesLog succeeds.
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
		return errs.Wrap(err, errs.DiskFailed, "append to "+logName(l.fileNumber))
	}
	l.frameNumber++
	return nil
}

// beginFile creates a new log file, with the records as its first frame, and removes the others.
func (l *FileLog) beginFile(records ...*schema.Record) error {
	if l.file != nil {
		_ = l.file.close() // the file is not written any more, and the new one replaces its content
	}
	l.file, l.failed = nil, true
	l.fileNumber++
	created, err := l.fileSystem.create(logName(l.fileNumber))
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, "create "+logName(l.fileNumber))
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

// removeOthers removes all log files, except the one with the given number if keepNumber is set, and makes the removals
// durable. If there is nothing to remove, the folder is not synced: the log relies on a file's own sync to make its name
// durable too, as ext4 and XFS do.
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
			return errs.Wrap(err, errs.DiskFailed, "remove "+logName(other))
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return errs.Wrap(l.fileSystem.syncDirectory(), errs.DiskFailed, "sync the data folder")
}

// Close closes the log file. Records for which Write has returned are durable already.
func (l *FileLog) Close() error {
	if l.file == nil {
		return nil
	}
	return errs.Wrap(l.file.close(), errs.DiskFailed, "close "+logName(l.fileNumber))
}

// QuarantineLog renames the log files of a data folder, so that the folder counts as empty and the corrupt log can still
// be examined. Files from an earlier QuarantineLog are removed. It fails with errs.DiskFailed.
func QuarantineLog(folder string) error {
	files := osFileSystem(folder)
	names, err := files.list()
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, "list the data folder")
	}
	for _, name := range names {
		if strings.HasPrefix(name, quarantinePrefix) {
			if err := files.remove(name); err != nil {
				return errs.Wrap(err, errs.DiskFailed, "remove "+name)
			}
		}
	}
	numbers, err := logNumbers(files)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if err := files.rename(logName(number), quarantinePrefix+logName(number)); err != nil {
			return errs.Wrap(err, errs.DiskFailed, "rename "+logName(number))
		}
	}
	return errs.Wrap(files.syncDirectory(), errs.DiskFailed, "sync the data folder")
}

// logName returns the name of the log file with a number.
func logName(number uint64) string { return fmt.Sprintf("%s%012d%s", logPrefix, number, logSuffix) }

// logNumbers returns the numbers of the log files in a folder, newest first.
func logNumbers(files fileSystem) ([]uint64, error) {
	names, err := files.list()
	if err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, "list the data folder")
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
