package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// A log file is a sequence of frames, one for each write. A frame is a header and a body, numbers little-endian:
//
//	offset  bytes
//	 0      4     magic
//	 4      4     length of the body in bytes
//	 8      8     number of the frame in its file, from 1
//	16      4     CRC-32 (IEEE) of length, number and body
//	20            body: a schema.RecordGroup
//
// A frame is written only once the one before it is durable, so a power loss can tear the last frame alone. A valid
// frame after an invalid one therefore means corruption.
const (
	frameMagic       = "mhw1"
	frameHeaderBytes = 4 + 4 + 8 + 4
)

// readFrames reads the frames of a log file, up to a torn tail. validSize is the length in bytes of the valid
// frames; corrupt means that a valid frame follows an invalid one, and that nothing must be used.
func readFrames(data []byte) (groups []*schema.RecordGroup, validSize int, corrupt bool) {
	for {
		group, size := readFrame(data[validSize:], uint64(len(groups)+1))
		if group == nil {
			break
		}
		groups = append(groups, group)
		validSize += size
	}
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

// readFrame reads the frame at the start of data and its size in bytes; nil unless it is valid and has the
// number want.
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

// decodeFrame returns the body and the number of the frame at the start of data, nil unless its length and
// checksum are valid.
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

// encodeFrame is a frame of records.
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

// checksum is that of a frame, over its header's length and number, and its body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(header), crc32.IEEETable, body)
}
