package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// nonHeartbeatMessages returns the messages among actions that are not heartbeats, and the ids of the writes.
func nonHeartbeatMessages(actions []Action) (messages []*schema.ReplicaMessage, writeIDs []uint64) {
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			if typed.Message.GetHeartbeat() == nil {
				messages = append(messages, typed.Message)
			}
		case Persist:
			writeIDs = append(writeIDs, typed.WriteID)
		}
	}
	return messages, writeIDs
}

// A vote is sent, and the beginning of a term and an entry are acknowledged, only once they are durable. Each case
// continues from the previous one.
func TestAcknowledgementsAwaitDurability(t *testing.T) {
	founders := []string{"a", "b", "c"}
	cfg := testConfig("b")
	cfg.StaticMembers, cfg.Seeds, cfg.Founders = nil, founders, founders
	replica := NewReplica(cfg, 0, []*schema.Record{InitialRecord(cfg, 2)})
	now := time.Second
	from := func(body *schema.ReplicaMessage) *schema.ReplicaMessage {
		body.From, body.To, body.Address, body.Incarnation, body.Founder = "a", "b", "a", 1, true
		return body
	}
	entry := &schema.Entry{Version: &schema.Version{Term: 3, Sequence: 1}, ChangeId: "one",
		Outcome: &schema.ChangeOutcome{ChangeId: "one", Version: &schema.Version{Term: 3, Sequence: 1}, Ruling: schema.Ruling_RULING_ACCEPTED}}
	for _, step := range []struct {
		name       string
		message    *schema.ReplicaMessage
		isExpected func(*schema.ReplicaMessage) bool
	}{
		{"a vote request", voteRequestMessage(&schema.VoteRequest{Term: 3, Membership: &schema.Version{}}),
			func(message *schema.ReplicaMessage) bool { return message.GetVote().GetTerm() == 3 }},
		{"the beginning of a term", beginTermMessage(&schema.BeginTerm{Term: 3, Base: &schema.Version{}}),
			func(message *schema.ReplicaMessage) bool { return message.GetAppendReply().GetTerm() == 3 }},
		{"an entry", appendEntriesMessage(&schema.AppendEntries{Term: 3, Entries: []*schema.Entry{entry}}),
			func(message *schema.ReplicaMessage) bool { return message.GetAppendReply().GetSequence() == 1 }},
	} {
		messages, writeIDs := nonHeartbeatMessages(replica.Step(now, from(step.message)))
		if len(messages) > 0 || len(writeIDs) != 1 {
			t.Fatalf("Step with %s sent %v and wrote %d records; want no message and 1 record", step.name, messages, len(writeIDs))
		}
		messages, _ = nonHeartbeatMessages(replica.Persisted(now, writeIDs[0]))
		if len(messages) != 1 || !step.isExpected(messages[0]) {
			t.Fatalf("Persisted after %s sent %v; want one acknowledgement of it", step.name, messages)
		}
	}
}
