package fakebackend

import "hash/crc32"

// Reply is the response body of a fake worker.
type Reply struct {
	Operation string `json:"op"`     // the operation that the request named
	Worker    string `json:"worker"` // the name of the worker that executed it
	Filler    string `json:"filler"` // padding that makes the body longer
	Checksum  uint32 `json:"sum"`    // CRC-32 (IEEE) of the other fields, by which a truncated or altered reply is detected
}

// NewReply returns a reply with the given fields and their checksum.
func NewReply(operation, worker, filler string) Reply {
	reply := Reply{Operation: operation, Worker: worker, Filler: filler}
	reply.Checksum = reply.checksum()
	return reply
}

// checksum computes the checksum of the other fields.
func (r Reply) checksum() uint32 {
	return crc32.ChecksumIEEE([]byte(r.Operation + "|" + r.Worker + "|" + r.Filler))
}

// IsIntact reports whether the checksum matches the other fields.
func (r Reply) IsIntact() bool { return r.Checksum == r.checksum() }
