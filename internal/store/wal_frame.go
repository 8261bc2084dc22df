package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// A log file is a sequence of frames, one for each write. A frame is a header and a body. Numbers are little-endian:
//
//	offset  bytes
//	 0      4     magic
//	 4      4     length of the body in bytes
//	 8      8     number of the frame in its file, from 1
//	16      4     CRC-32 (IEEE) of length, number and body
//	20            body: a schema.RecordGroup
//
// A frame is written only once the previous one is durable, so a power loss can tear only the last frame. A valid frame
// after an invalid one therefore means corruption.
const (
	frameMagic       = "mhw1"
	frameHeaderBytes = 4 + 4 + 8 + 4
)

// readFrames reads the frames of a log file up to a torn tail. validSize is the total size of the valid frames in bytes.
// corrupt means that a valid frame follows an invalid one; no frames are then returned, as none must be used.
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

// readFrame returns the records of the frame at the start of data, and the frame's size in bytes. It returns nil if the
// frame is invalid or does not have the number want.
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

// decodeFrame returns the body and the number of the frame at the start of data. The body is nil if the frame's magic,
// length or checksum is invalid.
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

// encodeFrame returns a frame with records as its body. It fails with errs.Internal if they cannot be encoded.
func encodeFrame(records []*schema.Record, frameNumber uint64) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderBytes), &schema.RecordGroup{Records: records})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("encode frame %d of %d records", frameNumber, len(records)))
	}
	copy(data, frameMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(data)-frameHeaderBytes))
	binary.LittleEndian.PutUint64(data[8:], frameNumber)
	binary.LittleEndian.PutUint32(data[16:], checksum(data[4:16], data[frameHeaderBytes:]))
	return data, nil
}

// checksum returns the checksum of a frame, which covers the length and the number in its header, and its body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(header), crc32.IEEETable, body)
}
