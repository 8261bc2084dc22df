package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

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

func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(header), crc32.IEEETable, body)
}
