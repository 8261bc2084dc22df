package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// How a change is proposed, forwarded to the leader, admitted and answered.

// requester is who waits for the answer to a proposal or read at the leader.
type requester struct {
	ticket  string
	replica string // the replica that forwarded the request; empty for this process
}

// forwardedRequest is a request of this process that waits for the leader's answer.
type forwardedRequest struct {
	leader string
	sentAt time.Duration
	isRead bool // a ReadIndex rather than a Proposal
}

// Propose proposes a change on behalf of this process. A Reply with the proposal's ticket follows, in this step
// or a later one, as soon as the outcome is committed, or undecided if no leader can tell. A change id that
// was decided before gets that outcome again.
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

// proposeAsLeader handles a proposal of this process or a forwarded one: it admits the change and records who waits for
// the outcome. It answers undecided where this replica does not lead or must not admit more.
func (r *Replica) proposeAsLeader(proposal *schema.Proposal, from requester) {
	uncommitted := int(r.sequence - r.committedSequence)
	// Refused before it is admitted, so nothing of it can come into force later.
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
		return // decided already; every requester is answered once that is committed
	}
	r.admit(proposal.Change)
}

// admit decides a change against the leader's content and appends the outcome, a refusal too: a repeat of
// the change id must get the same answer.
func (r *Replica) admit(change *schema.Change) {
	entry, compiled := Decide(r.state, r.compiledConfig, change, r.nextVersion())
	r.compiledConfig = compiled
	r.appendAsLeader(entry)
}

// answerCommittedProposals answers the proposals whose outcome is committed by now.
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

// answerProposal answers a requester here or at the replica that forwarded the proposal.
func (r *Replica) answerProposal(to requester, reply *schema.ProposalReply) {
	if to.replica == "" {
		r.emit(Reply{reply})
		return
	}
	r.send(to.replica, proposalReplyMessage(reply))
}

// onProposalReply passes the leader's answer to a forwarded proposal on to this process.
func (r *Replica) onProposalReply(reply *schema.ProposalReply) {
	delete(r.forwardedRequests, reply.Ticket)
	r.emit(Reply{reply})
}

// undecidedProposal answers a proposal whose outcome is not known here.
func undecidedProposal(ticket string) *schema.ProposalReply {
	return &schema.ProposalReply{Ticket: ticket, Undecided: true}
}
