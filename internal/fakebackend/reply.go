package fakebackend

import "hash/crc32"

// Reply is the response body of a fake worker. Checksum covers the other fields, so that a reply that was cut or
// altered shows.
type Reply struct {
	Operation string `json:"op"`
	Worker    string `json:"worker"`
	Filler    string `json:"filler"` // makes the body longer
	Checksum  uint32 `json:"sum"`
}

// NewReply makes a reply with its checksum.
func NewReply(operation, worker, filler string) Reply {
	reply := Reply{Operation: operation, Worker: worker, Filler: filler}
	reply.Checksum = reply.checksum()
	return reply
}

func (r Reply) checksum() uint32 {
	return crc32.ChecksumIEEE([]byte(r.Operation + "|" + r.Worker + "|" + r.Filler))
}

// IsIntact tells whether the checksum matches the other fields.
func (r Reply) IsIntact() bool { return r.Checksum == r.checksum() }
