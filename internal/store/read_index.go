package store

import (
	"time"

	"meadowhinge/schema"
)

// Read index (thesis, section 6.4): the leader notes its committed sequence, has a majority confirm that it
// still leads, and only then answers. A reader that waits until its own replica has committed that
// sequence sees everything that was acknowledged before the read began. A leader has committed in its own term
// (advanceCommit), so its committed sequence is not behind what an earlier leader acknowledged.

// pendingRead is a read at the leader that waits for a majority to confirm its id.
type pendingRead struct {
	requester
	id uint64
}

// ReadIndex asks for a committed sequence at least as high as that of any change acknowledged so far. A
// ReadIndexReady with the ticket follows, undecided if no leader confirms it.
func (r *Replica) ReadIndex(now time.Duration, ticket string) []Action {
	r.beginStep(now)
	switch leader := r.leader(); leader {
	case r.config.Name:
		r.readIndexAsLeader(requester{ticket: ticket})
	case "":
		r.emit(ReadIndexReady{undecidedRead(ticket)})
	default:
		r.forwardedRequests[ticket] = forwardedRequest{leader: leader, sentAt: now, isRead: true}
		r.send(leader, readIndexMessage(&schema.ReadIndex{Ticket: ticket}))
	}
	return r.actions
}

// readIndexAsLeader handles a read of this process or a forwarded one: it requests confirmations under a new id, or answers
// undecided where this replica does not lead.
func (r *Replica) readIndexAsLeader(from requester) {
	if r.role != roleLeader {
		r.answerRead(from, undecidedRead(from.ticket))
		return
	}
	if r.hasFault(faultLocalRead) {
		r.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Committed: r.committedSequence})
		return
	}
	r.readIndexID++
	r.pendingReads = append(r.pendingReads, pendingRead{from, r.readIndexID})
	r.sendConfirm()
	// A leader without other members is a majority by itself, and no confirmation will come.
	r.resolveReads()
}

// sendConfirm asks the other members to confirm that this replica still leads. A confirmation of the latest
// id confirms all ids before it.
func (r *Replica) sendConfirm() {
	for _, name := range r.otherMembers {
		r.send(name, confirmLeadershipMessage(&schema.ConfirmLeadership{Term: r.term, Round: r.readIndexID}))
	}
}

// onConfirmLeadership confirms a leader, unless this replica has voted in a later term.
func (r *Replica) onConfirmLeadership(from string, request *schema.ConfirmLeadership) {
	r.send(from, confirmLeadershipReplyMessage(&schema.ConfirmLeadershipReply{
		Term:    request.Term,
		Round:   request.Round,
		Refused: request.Term != r.votedTerm || !r.isMember(),
	}))
}

// onConfirmLeadershipReply counts a member's confirmation.
func (r *Replica) onConfirmLeadershipReply(peer *peerState, reply *schema.ConfirmLeadershipReply) {
	if r.role != roleLeader || reply.Term != r.term || reply.Refused {
		return
	}
	peer.confirmedReadIndexID = max(peer.confirmedReadIndexID, reply.Round)
	r.resolveReads()
}

// resolveReads answers the reads whose id a majority has confirmed. The committed sequence is that of
// now, which is at least the one at the time of the read.
func (r *Replica) resolveReads() {
	var remaining []pendingRead
	for _, read := range r.pendingReads {
		confirmed := 1
		for _, name := range r.otherMembers {
			if r.peers[name].confirmedReadIndexID >= read.id {
				confirmed++
			}
		}
		if confirmed < r.majority() {
			remaining = append(remaining, read)
			continue
		}
		r.answerRead(read.requester, &schema.ReadIndexReply{
			Ticket:    read.ticket,
			Committed: r.committedSequence,
			Empty:     len(r.committedState) == 0,
		})
	}
	r.pendingReads = remaining
}

// answerRead answers a requester here or at the replica that forwarded the read.
func (r *Replica) answerRead(to requester, reply *schema.ReadIndexReply) {
	if to.replica == "" {
		r.emit(ReadIndexReady{reply})
		return
	}
	r.send(to.replica, readIndexReplyMessage(reply))
}

// onReadIndexReply passes the leader's answer to a forwarded read on to this process.
func (r *Replica) onReadIndexReply(reply *schema.ReadIndexReply) {
	delete(r.forwardedRequests, reply.Ticket)
	r.emit(ReadIndexReady{reply})
}

// undecidedRead answers a read for which no leader confirmed a committed sequence.
func undecidedRead(ticket string) *schema.ReadIndexReply {
	return &schema.ReadIndexReply{Ticket: ticket, Undecided: true}
}
