package store

import "meadowhinge/schema"

// This file has one constructor for each kind of ReplicaMessage body. Replica.send fills in the header.

func heartbeatMessage(body *schema.Heartbeat) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: body}}
}

func voteRequestMessage(body *schema.VoteRequest) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_VoteRequest{VoteRequest: body}}
}

func voteMessage(body *schema.Vote) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: body}}
}

func beginTermMessage(body *schema.BeginTerm) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_BeginTerm{BeginTerm: body}}
}

func appendEntriesMessage(body *schema.AppendEntries) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendEntries{AppendEntries: body}}
}

func appendReplyMessage(body *schema.AppendReply) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: body}}
}

func stateRequestMessage(body *schema.StateRequest) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateRequest{StateRequest: body}}
}

func stateReplyMessage(body *schema.StateReply) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateReply{StateReply: body}}
}

func snapshotRequestMessage(body *schema.SnapshotRequest) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotRequest{SnapshotRequest: body}}
}

func snapshotReplyMessage(body *schema.SnapshotReply) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotReply{SnapshotReply: body}}
}

func joinMessage(body *schema.Join) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Join{Join: body}}
}

func membershipMessage(body *schema.Membership) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Membership{Membership: body}}
}

func proposalMessage(body *schema.Proposal) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Proposal{Proposal: body}}
}

func proposalReplyMessage(body *schema.ProposalReply) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ProposalReply{ProposalReply: body}}
}

func readIndexMessage(body *schema.ReadIndex) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndex{ReadIndex: body}}
}

func readIndexReplyMessage(body *schema.ReadIndexReply) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndexReply{ReadIndexReply: body}}
}

func confirmLeadershipMessage(body *schema.ConfirmLeadership) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadership{ConfirmLeadership: body}}
}

func confirmLeadershipReplyMessage(body *schema.ConfirmLeadershipReply) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadershipReply{ConfirmLeadershipReply: body}}
}
