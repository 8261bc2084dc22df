package store

import "meadowhinge/schema"

// Action is one output of a Replica: Send, Persist, Reply or ReadIndexReady. The owner carries out the actions of a
// step in the order given.
type Action interface{ isAction() }

// Send asks for a message to be delivered to the replica named in Message.To. The message may be lost, delayed or
// reordered: the replica resends whatever must arrive, with a later round of heartbeats.
type Send struct{ Message *schema.ReplicaMessage }

// Persist asks for a record to be made durable. Once it is, the owner calls Replica.Persisted with WriteID.
// Records are written, and reported, in the order in which they were asked for.
type Persist struct {
	// WriteID increases with each write, except that RewriteSnapshot repeats the last one. Passed to Persisted, it
	// also covers all earlier writes.
	WriteID uint64
	Record  *schema.Record // the record to append to the log
	// ReplacesLog means that Record is complete by itself, so that earlier records may be dropped. It is set for a
	// snapshot and for the initial record of a replica that starts empty.
	ReplacesLog bool
}

// Reply answers the Propose call whose ticket Result has. An undecided result means only that the outcome is not
// known here. The change may still be committed, and it is safe to propose it again under the same change id.
type Reply struct{ Result *schema.ProposalReply }

// ReadIndexReady answers the ReadIndex call whose ticket Result has. An undecided result has no sequence.
type ReadIndexReady struct{ Result *schema.ReadIndexReply }

func (Send) isAction()           {}
func (Persist) isAction()        {}
func (Reply) isAction()          {}
func (ReadIndexReady) isAction() {}

// emit adds an action to those that the current step returns.
func (r *Replica) emit(action Action) { r.actions = append(r.actions, action) }

// send fills in the header of a message, which is the receiver and this replica's identity, and emits it.
func (r *Replica) send(to string, message *schema.ReplicaMessage) {
	message.From = r.config.Name
	message.To = to
	message.Address = r.config.Address
	message.Incarnation = r.incarnation
	message.Founder = r.founder
	r.emit(Send{message})
}
