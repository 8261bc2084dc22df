package store

import (
	"time"

	"meadowhinge/schema"
)

type pendingRead struct {
	requester
	round uint64
}

// ReadIndex asks for the committed sequence that no later yes can lie below.
func (r *Replica) ReadIndex(now time.Duration, ticket string) []Action {
	r.beginStep(now)
	leader := r.leader()
	switch leader {
	case r.config.Name:
		r.readIndex(requester{ticket: ticket})
	case "":
		r.actions = append(r.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
	default:
		r.forwardedRequests[ticket] = forwardedRequest{leader: leader, sentAt: now, isRead: true}
		r.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndex{ReadIndex: &schema.ReadIndex{Ticket: ticket}}})
	}
	return r.actions
}

func (r *Replica) readIndex(from requester) {
	if r.role != roleLeader {
		r.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Undecided: true})
		return
	}
	if r.hasFault(faultLocalRead) {
		r.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Committed: r.committedSequence})
		return
	}
	r.readIndexRound++
	r.pendingReads = append(r.pendingReads, pendingRead{from, r.readIndexRound})
	r.sendConfirm()
	// A replica without others is a majority by itself, and no confirmation will come.
	r.resolveReads()
}

func (r *Replica) sendConfirm() {
	for _, name := range r.otherMembers {
		r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadership{ConfirmLeadership: &schema.ConfirmLeadership{Term: r.term, Round: r.readIndexRound}}})
	}
}

func (r *Replica) resolveReads() {
	var remaining []pendingRead
	for _, read := range r.pendingReads {
		confirmed := 1
		for _, name := range r.otherMembers {
			peer := r.peers[name]
			if peer.confirmedRound >= read.round {
				confirmed++
			}
		}
		if confirmed >= r.majority() {
			r.answerRead(read.requester, &schema.ReadIndexReply{Ticket: read.ticket, Committed: r.committedSequence, Empty: len(r.committedState) == 0})
		} else {
			remaining = append(remaining, read)
		}
	}
	r.pendingReads = remaining
}

func (r *Replica) answerRead(to requester, reply *schema.ReadIndexReply) {
	if to.replica == "" {
		r.actions = append(r.actions, ReadIndexReady{reply})
		return
	}
	r.send(to.replica, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndexReply{ReadIndexReply: reply}})
}
