package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

type requester struct {
	ticket  string
	replica string // replica to answer, empty for this process
}

// forwardedRequest is a ticket of this machine's registry that waits for the leader's answer.
type forwardedRequest struct {
	leader string
	sentAt time.Duration
	isRead bool
}

// Propose takes a change from this machine's registry.
func (r *Replica) Propose(now time.Duration, proposal *schema.Proposal) []Action {
	r.beginStep(now)
	if outcome, committed := r.CommittedOutcome(proposal.Change.Id); committed {
		r.actions = append(r.actions, Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome}})
		return r.actions
	}
	leader := r.leader()
	switch leader {
	case r.config.Name:
		r.propose(proposal, requester{ticket: proposal.Ticket})
	case "":
		r.actions = append(r.actions, Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Undecided: true}})
	default:
		r.forwardedRequests[proposal.Ticket] = forwardedRequest{leader: leader, sentAt: now}
		r.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Proposal{Proposal: proposal}})
	}
	return r.actions
}

// propose admits a change, as the leader.
func (r *Replica) propose(proposal *schema.Proposal, from requester) {
	uncommitted := int(r.sequence - r.committedSequence)
	// Refused before it is admitted, so nothing of it can come into force later.
	if r.role != roleLeader || r.unfit() || uncommitted >= r.config.MaxUncommittedEntries {
		r.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Undecided: true})
		return
	}
	if outcome, committed := r.CommittedOutcome(proposal.Change.Id); committed {
		r.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome})
		return
	}
	r.pendingProposals[proposal.Change.Id] = append(r.pendingProposals[proposal.Change.Id], from)
	if _, appended := r.outcomes[proposal.Change.Id]; appended {
		return
	}
	r.admit(proposal.Change)
}

// admit gives a change the next sequence and hands it to the others.
func (r *Replica) admit(change *schema.Change) {
	var entry *schema.Entry
	entry, r.compiledConfig = Decide(r.state, r.compiledConfig, change, &schema.Version{Term: r.term, Sequence: r.sequence + 1})
	r.appendAsLeader(entry)
}

func (r *Replica) answerProposal(to requester, reply *schema.ProposalReply) {
	if to.replica == "" {
		r.actions = append(r.actions, Reply{reply})
		return
	}
	r.send(to.replica, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ProposalReply{ProposalReply: reply}})
}

func (r *Replica) answerCommittedProposals() {
	for _, id := range slices.Sorted(maps.Keys(r.pendingProposals)) {
		requesters := r.pendingProposals[id]
		outcome, committed := r.CommittedOutcome(id)
		if !committed {
			continue
		}
		for _, request := range requesters {
			r.answerProposal(request, &schema.ProposalReply{Ticket: request.ticket, Outcome: outcome})
		}
		delete(r.pendingProposals, id)
	}
}
