package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// told lists what a replica says in answer to an event, but for heartbeats.
func told(actions []Action) (messages []*schema.ReplicaMessage, marks []uint64) {
	for _, action := range actions {
		switch one := action.(type) {
		case Send:
			if one.Message.GetHeartbeat() == nil {
				messages = append(messages, one.Message)
			}
		case Persist:
			marks = append(marks, one.Mark)
		}
	}
	return messages, marks
}

// A vote, the beginning of an epoch and entries are told of only once they are on disk.
func TestNothingIsToldBeforeItIsOnDisk(t *testing.T) {
	founders := []string{"a", "b", "c"}
	options := trioOptions("b")
	options.Order, options.Seeds, options.Founders = nil, founders, founders
	replica := NewReplica(options, 0, []*schema.Record{Birth(options, 2)})
	now := time.Second
	from := func(body *schema.ReplicaMessage) *schema.ReplicaMessage {
		body.From, body.To, body.Address, body.Incarnation, body.Founder = "a", "b", "a", 1, true
		return body
	}
	entry := &schema.Entry{Version: &schema.Version{Epoch: 3, Sequence: 1}, ChangeId: "one",
		Outcome: &schema.Outcome{ChangeId: "one", Version: &schema.Version{Epoch: 3, Sequence: 1}, Ruling: schema.Ruling_RULING_ACCEPTED}}
	for _, step := range []struct {
		name    string
		message *schema.ReplicaMessage
		says    func(*schema.ReplicaMessage) bool
	}{
		{"a vote", &schema.ReplicaMessage{Body: &schema.ReplicaMessage_VoteRequest{VoteRequest: &schema.VoteRequest{Epoch: 3, Membership: &schema.Version{}}}},
			func(message *schema.ReplicaMessage) bool { return message.GetVote().GetEpoch() == 3 }},
		{"the beginning of an epoch", &schema.ReplicaMessage{Body: &schema.ReplicaMessage_BeginEpoch{BeginEpoch: &schema.BeginEpoch{Epoch: 3, Upon: &schema.Version{}}}},
			func(message *schema.ReplicaMessage) bool { return message.GetAppendReply().GetEpoch() == 3 }},
		{"an entry", &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendEntries{AppendEntries: &schema.AppendEntries{Epoch: 3, Entries: []*schema.Entry{entry}}}},
			func(message *schema.ReplicaMessage) bool { return message.GetAppendReply().GetSequence() == 1 }},
	} {
		messages, marks := told(replica.Deliver(now, from(step.message)))
		if len(messages) > 0 || len(marks) != 1 {
			t.Fatalf("%s: %v was told with %d records not yet on disk", step.name, messages, len(marks))
		}
		messages, _ = told(replica.Synced(now, marks[0]))
		if len(messages) != 1 || !step.says(messages[0]) {
			t.Fatalf("%s: once it is on disk, %v is told", step.name, messages)
		}
	}
}
