package store

import (
	"time"

	"meadowhinge/schema"
)

// This file implements the read index (thesis, section 6.4). The leader has a majority confirm that it still leads, and
// then answers with its committed sequence. A reader that waits until its own replica has committed that sequence sees
// everything that was acknowledged before the read began. A leader has committed in its own term (advanceCommit), so
// its committed sequence is never behind what an earlier leader acknowledged.

// pendingRead is a read at the leader that waits until a majority has confirmed its id.
type pendingRead struct {
	requester
	id uint64 // the readIndexID of the read
}

// ReadIndex asks, on behalf of this process, for a committed sequence at least as high as that of any change
// acknowledged so far. A ReadIndexReady with the ticket follows, in this step or a later one; it is undecided if no
// leader answers.
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

// readIndexAsLeader handles a read of this process or a forwarded one: it requests confirmations under a new id, or
// answers undecided if this replica does not lead.
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
	// A leader without other members is a majority by itself and gets no confirmations.
	r.resolveReads()
}

// sendConfirm asks the other members to confirm that this replica still leads. A confirmation of the latest id covers
// all earlier ids.
func (r *Replica) sendConfirm() {
	for _, name := range r.otherMembers {
		r.send(name, confirmLeadershipMessage(&schema.ConfirmLeadership{Term: r.term, Round: r.readIndexID}))
	}
}

// onConfirmLeadership confirms a leader, unless this replica is not a member or last voted in another term.
func (r *Replica) onConfirmLeadership(from string, request *schema.ConfirmLeadership) {
	r.send(from, confirmLeadershipReplyMessage(&schema.ConfirmLeadershipReply{
		Term:    request.Term,
		Round:   request.Round,
		Refused: request.Term != r.votedTerm || !r.isMember(),
	}))
}

// onConfirmLeadershipReply records a member's confirmation and answers the reads that it completes.
func (r *Replica) onConfirmLeadershipReply(peer *peerState, reply *schema.ConfirmLeadershipReply) {
	if r.role != roleLeader || reply.Term != r.term || reply.Refused {
		return
	}
	peer.confirmedReadIndexID = max(peer.confirmedReadIndexID, reply.Round)
	r.resolveReads()
}

// resolveReads answers the reads whose id a majority has confirmed. It answers with the current committed sequence,
// which is at least the one at the time of the read.
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

// answerRead answers a requester of this process, or sends the answer to the replica that forwarded the read.
func (r *Replica) answerRead(to requester, reply *schema.ReadIndexReply) {
	if to.replica == "" {
		r.emit(ReadIndexReady{reply})
		return
	}
	r.send(to.replica, readIndexReplyMessage(reply))
}

// onReadIndexReply passes the leader's answer to a forwarded read to the requester in this process.
func (r *Replica) onReadIndexReply(reply *schema.ReadIndexReply) {
	delete(r.forwardedRequests, reply.Ticket)
	r.emit(ReadIndexReady{reply})
}

// undecidedRead returns the answer to a read for which no leader has confirmed a committed sequence.
func undecidedRead(ticket string) *schema.ReadIndexReply {
	return &schema.ReadIndexReply{Ticket: ticket, Undecided: true}
}
