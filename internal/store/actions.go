package store

import (
	"meadowhinge/schema"
)

// Send is a message for another replica.
type Send struct{ Message *schema.ReplicaMessage }

// Persist asks for a record to be synced; Synced must be stepped with its mark afterwards,
// marks in the order they were given. Whole means that records before it may be dropped.
type Persist struct {
	WriteID     uint64
	Record      *schema.Record
	ReplacesLog bool
}

// Reply ends a ticket given with Propose.
type Reply struct{ Result *schema.ProposalReply }

// ReadIndexReady ends a ticket given with ReadIndex.
type ReadIndexReady struct{ Result *schema.ReadIndexReply }

// Action is one of Send, Persist, Reply, ReadIndexReady.
type Action any

func (r *Replica) send(to string, message *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = r.config.Name, to, r.config.Address, r.incarnation, r.founder
	r.actions = append(r.actions, Send{message})
}
