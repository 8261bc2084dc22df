package fakebackend

import "testing"

// A reply is intact only if no field was cut, altered or exchanged for another's.
func TestIsIntact(t *testing.T) {
	reply := NewReply("buy", "w1", "xxxx")
	if !reply.IsIntact() {
		t.Error("a new reply is not intact")
	}
	for name, change := range map[string]func(*Reply){
		"operation": func(r *Reply) { r.Operation = "look" },
		"worker":    func(r *Reply) { r.Worker = "w2" },
		"filler":    func(r *Reply) { r.Filler = "xxx" },
		"checksum":  func(r *Reply) { r.Checksum++ },
	} {
		t.Run(name, func(t *testing.T) {
			changed := reply
			change(&changed)
			if changed.IsIntact() {
				t.Error("the change was not noticed")
			}
		})
	}
}

// Two runs at once reserve different networks.
func TestReserveLoopbackNet(t *testing.T) {
	first, firstLock, err := ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = firstLock.Close() }()
	second, secondLock, err := ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = secondLock.Close() }()
	if first == second {
		t.Errorf("both reserved %d", first)
	}
}
