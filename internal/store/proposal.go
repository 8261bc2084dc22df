package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// This file proposes a change, forwards it to the leader, admits it there and answers it.

// requester identifies the request that waits at the leader for the answer to a proposal or read.
type requester struct {
	ticket  string // identifies the request at the process that made it
	replica string // the replica that forwarded the request; empty for a request of this process
}

// forwardedRequest is a request of this process that has been forwarded to the leader and waits for its answer.
type forwardedRequest struct {
	leader string        // the replica that the request was sent to
	sentAt time.Duration // time at which the request was sent, on the replica's clock
	isRead bool          // true for a ReadIndex, false for a Proposal
}

// Propose proposes a change on behalf of this process. A Reply with the proposal's ticket follows, in this step or a
// later one: with the outcome once that is committed, or undecided if no leader answers. A change id that has been
// decided before gets the same outcome again.
func (r *Replica) Propose(now time.Duration, proposal *schema.Proposal) []Action {
	r.beginStep(now)
	if outcome, committed := r.CommittedOutcome(proposal.Change.Id); committed {
		r.emit(Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome}})
		return r.actions
	}
	switch leader := r.leader(); leader {
	case r.config.Name:
		r.proposeAsLeader(proposal, requester{ticket: proposal.Ticket})
	case "":
		r.emit(Reply{undecidedProposal(proposal.Ticket)})
	default:
		r.forwardedRequests[proposal.Ticket] = forwardedRequest{leader: leader, sentAt: now}
		r.send(leader, proposalMessage(proposal))
	}
	return r.actions
}

// proposeAsLeader handles a proposal of this process or a forwarded one: it admits the change and stores the requester
// that waits for the outcome. It answers undecided if this replica does not lead, is unfit to lead, or has too many
// uncommitted entries.
func (r *Replica) proposeAsLeader(proposal *schema.Proposal, from requester) {
	uncommitted := int(r.sequence - r.committedSequence)
	// The proposal is answered before its change is admitted, so it has no effect later. This is not a refusal: no
	// outcome is stored, and a repeat may be accepted.
	if r.role != roleLeader || r.unfit() || uncommitted >= r.config.MaxUncommittedEntries {
		r.answerProposal(from, undecidedProposal(proposal.Ticket))
		return
	}
	id := proposal.Change.Id
	if outcome, committed := r.CommittedOutcome(id); committed {
		r.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome})
		return
	}
	r.pendingProposals[id] = append(r.pendingProposals[id], from)
	if _, appended := r.outcomes[id]; appended {
		return // it is decided already; every requester is answered once that outcome is committed
	}
	r.admit(proposal.Change)
}

// admit decides a change against the leader's content and appends the entry with its outcome. A refusal is appended
// too, so that a repeat of the change id gets the same answer.
func (r *Replica) admit(change *schema.Change) {
	entry, compiled := Decide(r.state, r.compiledConfig, change, r.nextVersion())
	r.compiledConfig = compiled
	r.appendAsLeader(entry)
}

// answerCommittedProposals answers the pending proposals whose outcome is committed.
func (r *Replica) answerCommittedProposals() {
	for _, id := range slices.Sorted(maps.Keys(r.pendingProposals)) {
		outcome, committed := r.CommittedOutcome(id)
		if !committed {
			continue
		}
		for _, request := range r.pendingProposals[id] {
			r.answerProposal(request, &schema.ProposalReply{Ticket: request.ticket, Outcome: outcome})
		}
		delete(r.pendingProposals, id)
	}
}

// answerProposal answers a requester of this process, or sends the answer to the replica that forwarded the proposal.
func (r *Replica) answerProposal(to requester, reply *schema.ProposalReply) {
	if to.replica == "" {
		r.emit(Reply{reply})
		return
	}
	r.send(to.replica, proposalReplyMessage(reply))
}

// onProposalReply passes the leader's answer to a forwarded proposal to the requester in this process.
func (r *Replica) onProposalReply(reply *schema.ProposalReply) {
	delete(r.forwardedRequests, reply.Ticket)
	r.emit(Reply{reply})
}

// undecidedProposal returns the answer to a proposal whose outcome is not known here.
func undecidedProposal(ticket string) *schema.ProposalReply {
	return &schema.ProposalReply{Ticket: ticket, Undecided: true}
}
