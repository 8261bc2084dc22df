package store

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"github.com/tidwall/wal"
	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

const (
	checksumBytes = 4
	segmentBytes  = 8 << 20
)

// Disk is a seat's log of records; what Write returned for is synced.
type Disk struct {
	folder string
	log    *wal.Log
	last   uint64
}

// Open reads a folder's log. A torn tail, which no yes was ever given for, is dropped.
// Corruption before the tail is refused with DISK_CORRUPT: the folder must then be refilled.
func Open(folder string) (*Disk, []*schema.Record, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, defect.Wrap(err, defect.DiskFailed, "folder")
	}
	if err := dropTornTail(folder); err != nil {
		return nil, nil, err
	}
	log, err := wal.Open(folder, &wal.Options{SegmentSize: segmentBytes, SegmentCacheSize: 2, DirPerms: 0o750, FilePerms: 0o640})
	if err != nil {
		return nil, nil, defect.Wrap(err, defect.DiskCorrupt, folder)
	}
	disk := &Disk{folder: folder, log: log}
	first, err := log.FirstIndex()
	if err == nil {
		disk.last, err = log.LastIndex()
	}
	if err != nil {
		log.Close()
		return nil, nil, defect.Wrap(err, defect.DiskFailed, "index")
	}
	var records []*schema.Record
	for index := first; index != 0 && index <= disk.last; index++ {
		data, err := log.Read(index)
		if err != nil {
			log.Close()
			return nil, nil, defect.Wrap(err, defect.DiskCorrupt, "read")
		}
		record := &schema.Record{}
		if len(data) < checksumBytes || binary.LittleEndian.Uint32(data) != crc32.ChecksumIEEE(data[checksumBytes:]) ||
			proto.Unmarshal(data[checksumBytes:], record) != nil {
			log.Close()
			return nil, nil, defect.New(defect.DiskCorrupt, "record "+strconv.FormatUint(index, 10))
		}
		records = append(records, record)
	}
	return disk, records, disk.syncFolder()
}

// segments lists the log's files in order.
func segments(folder string) []string {
	names, _ := filepath.Glob(filepath.Join(folder, "[0-9]*"))
	var kept []string
	for _, name := range names {
		if len(filepath.Base(name)) == 20 {
			kept = append(kept, name)
		}
	}
	sort.Strings(kept)
	return kept
}

// dropTornTail cuts the last file back to its last whole record. A record is its length as
// a varint, its checksum and its bytes; power lost in the middle of a write leaves less, or
// zeros. Only a broken record that nothing whole follows is a torn tail.
func dropTornTail(folder string) error {
	files := segments(folder)
	if len(files) == 0 {
		return nil
	}
	last := files[len(files)-1]
	data, err := os.ReadFile(last)
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, last)
	}
	whole := 0
	for whole < len(data) {
		size, width := binary.Uvarint(data[whole:])
		if width <= 0 || size < checksumBytes || size > uint64(len(data)-whole-width) {
			break
		}
		record := data[whole+width : whole+width+int(size)]
		if binary.LittleEndian.Uint32(record) != crc32.ChecksumIEEE(record[checksumBytes:]) {
			// Broken, yet more follows: this is rot, not a torn write, and Open will refuse it.
			if next := whole + width + int(size); next < len(data) && !allZero(data[next:]) {
				return nil
			}
			break
		}
		whole += width + int(size)
	}
	if whole == len(data) {
		return nil
	}
	file, err := os.OpenFile(last, os.O_RDWR, 0)
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, last)
	}
	defer file.Close()
	if err := file.Truncate(int64(whole)); err != nil {
		return defect.Wrap(err, defect.DiskFailed, last)
	}
	return defect.Wrap(file.Sync(), defect.DiskFailed, last)
}

func allZero(data []byte) bool {
	for _, one := range data {
		if one != 0 {
			return false
		}
	}
	return true
}

// Write appends records and syncs them, all at once; whole drops everything before the last.
func (d *Disk) Write(records []*schema.Record, whole bool) error {
	batch := &wal.Batch{}
	for _, record := range records {
		body, err := proto.Marshal(record)
		if err != nil {
			return defect.Wrap(err, defect.Internal, "record")
		}
		data := binary.LittleEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
		d.last++
		batch.Write(d.last, append(data, body...))
	}
	before := len(segments(d.folder))
	if err := d.log.WriteBatch(batch); err != nil {
		return defect.Wrap(err, defect.DiskFailed, "write")
	}
	if whole {
		if err := d.log.TruncateFront(d.last); err != nil {
			return defect.Wrap(err, defect.DiskFailed, "truncate")
		}
	}
	// A new file lasts only once its folder is synced too.
	if whole || len(segments(d.folder)) != before {
		return d.syncFolder()
	}
	return nil
}

func (d *Disk) syncFolder() error {
	handle, err := os.Open(d.folder)
	if err != nil {
		return defect.Wrap(err, defect.DiskFailed, "folder")
	}
	defer handle.Close()
	return defect.Wrap(handle.Sync(), defect.DiskFailed, "folder")
}

// Close lets go of the files.
func (d *Disk) Close() error { return defect.Wrap(d.log.Close(), defect.DiskFailed, "close") }

// SetAside moves a corrupt log out of the way, kept for whoever wants to look at it.
func SetAside(folder string) error {
	aside := folder + ".corrupt"
	if err := os.RemoveAll(aside); err != nil {
		return defect.Wrap(err, defect.DiskFailed, aside)
	}
	return defect.Wrap(os.Rename(folder, aside), defect.DiskFailed, folder)
}
