package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// told lists what a seat says in answer to an event, but for pings.
func told(actions []Action) (letters []*schema.SeatLetter, marks []uint64) {
	for _, action := range actions {
		switch one := action.(type) {
		case Send:
			if one.Letter.GetPing() == nil {
				letters = append(letters, one.Letter)
			}
		case Persist:
			marks = append(marks, one.Mark)
		}
	}
	return letters, marks
}

// A vote, the beginning of an epoch and entries are told of only once they are on disk.
func TestNothingIsToldBeforeItIsOnDisk(t *testing.T) {
	founders := []string{"a", "b", "c"}
	options := trioOptions("b")
	options.Order, options.Seeds, options.Founders = nil, founders, founders
	seat := NewSeat(options, 0, []*schema.Record{Birth(options, 2)})
	now := time.Second
	from := func(body *schema.SeatLetter) *schema.SeatLetter {
		body.From, body.To, body.Address, body.Incarnation, body.Founder = "a", "b", "a", 1, true
		return body
	}
	entry := &schema.Entry{Version: &schema.Version{Epoch: 3, Sequence: 1}, ChangeId: "one",
		Outcome: &schema.Outcome{ChangeId: "one", Version: &schema.Version{Epoch: 3, Sequence: 1}, Ruling: schema.Ruling_RULING_ACCEPTED}}
	for _, step := range []struct {
		name   string
		letter *schema.SeatLetter
		says   func(*schema.SeatLetter) bool
	}{
		{"a vote", &schema.SeatLetter{Body: &schema.SeatLetter_Promise{Promise: &schema.Promise{Epoch: 3, Seats: &schema.Version{}}}},
			func(letter *schema.SeatLetter) bool { return letter.GetPromised().GetEpoch() == 3 }},
		{"the beginning of an epoch", &schema.SeatLetter{Body: &schema.SeatLetter_Install{Install: &schema.Install{Epoch: 3, Upon: &schema.Version{}}}},
			func(letter *schema.SeatLetter) bool { return letter.GetSynced().GetEpoch() == 3 }},
		{"an entry", &schema.SeatLetter{Body: &schema.SeatLetter_Append{Append: &schema.Append{Epoch: 3, Entries: []*schema.Entry{entry}}}},
			func(letter *schema.SeatLetter) bool { return letter.GetSynced().GetSequence() == 1 }},
	} {
		letters, marks := told(seat.Deliver(now, from(step.letter)))
		if len(letters) > 0 || len(marks) != 1 {
			t.Fatalf("%s: %v was told with %d records not yet on disk", step.name, letters, len(marks))
		}
		letters, _ = told(seat.Synced(now, marks[0]))
		if len(letters) != 1 || !step.says(letters[0]) {
			t.Fatalf("%s: once it is on disk, %v is told", step.name, letters)
		}
	}
}
