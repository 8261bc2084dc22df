package fakebackend

import "testing"

// TestIsIntact checks that a new reply is intact, and that a change of any one field is detected.
func TestIsIntact(t *testing.T) {
	reply := NewReply("buy", "w1", "xxxx")
	if !reply.IsIntact() {
		t.Errorf("IsIntact() = false for the new reply %+v, want true", reply)
	}
	for name, change := range map[string]func(*Reply){
		"another operation is detected": func(r *Reply) { r.Operation = "look" },
		"another worker is detected":    func(r *Reply) { r.Worker = "w2" },
		"a cut filler is detected":      func(r *Reply) { r.Filler = "xxx" },
		"a wrong checksum is detected":  func(r *Reply) { r.Checksum++ },
	} {
		t.Run(name, func(t *testing.T) {
			changed := reply
			change(&changed)
			if changed.IsIntact() {
				t.Errorf("IsIntact() = true for %+v, made from %+v; want false", changed, reply)
			}
		})
	}
}

// TestReserveLoopbackNet checks that two reservations that are held at the same time get different networks.
func TestReserveLoopbackNet(t *testing.T) {
	first, firstLock, err := ReserveLoopbackNet()
	if err != nil {
		t.Fatalf("the first ReserveLoopbackNet() failed: %v", err)
	}
	defer func() { _ = firstLock.Close() }()
	second, secondLock, err := ReserveLoopbackNet()
	if err != nil {
		t.Fatalf("the second ReserveLoopbackNet() failed: %v", err)
	}
	defer func() { _ = secondLock.Close() }()
	if first == second {
		t.Errorf("ReserveLoopbackNet() = %d twice, want two different networks", first)
	}
}
