package store

import "meadowhinge/schema"

// Action is one output of a Replica, to be carried out by its owner in the order given:
// Send, Persist, Reply or ReadIndexReady.
type Action interface{ isAction() }

// Send asks for a message to be delivered to the replica named in Message.To. It may be lost, delayed or
// overtaken: what matters is sent again at a later heartbeat interval.
type Send struct{ Message *schema.ReplicaMessage }

// Persist asks for a record to be made durable. Once it is, the owner calls Replica.Persisted with WriteID.
// Records are written, and reported, in the order in which they were asked for.
type Persist struct {
	WriteID uint64 // ascending; names this write and all before it
	Record  *schema.Record
	// ReplacesLog means that Record is complete by itself, so that records before it may be dropped: a
	// snapshot, or the initial record of a replica that starts empty.
	ReplacesLog bool
}

// Reply answers the ticket of a Propose call. An undecided result means only that the outcome is not
// known here: the change may still be committed, and is safely proposed again under the same change id.
type Reply struct{ Result *schema.ProposalReply }

// ReadIndexReady answers the ticket of a ReadIndex call.
type ReadIndexReady struct{ Result *schema.ReadIndexReply }

func (Send) isAction()           {}
func (Persist) isAction()        {}
func (Reply) isAction()          {}
func (ReadIndexReady) isAction() {}

// emit adds an action to those that the current step returns.
func (r *Replica) emit(action Action) { r.actions = append(r.actions, action) }

// send addresses a message, stamps it with this replica's identity and emits it.
func (r *Replica) send(to string, message *schema.ReplicaMessage) {
	message.From = r.config.Name
	message.To = to
	message.Address = r.config.Address
	message.Incarnation = r.incarnation
	message.Founder = r.founder
	r.emit(Send{message})
}
