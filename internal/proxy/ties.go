package proxy

import (
	"context"
	"sort"
	"sync"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// poke wakes a loop without waiting for it.
func poke(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

// workersChanged lets the whole mesh know, this proxy first.
func (s *Server) workersChanged() {
	s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{s.source()}})
	poke(s.tellNow)
}

// source is what this proxy tells of itself, under a new stamp each time.
func (s *Server) source() *schema.Source {
	workers := s.workers.List()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counter++
	return &schema.Source{Name: s.options.Name, Stamp: &schema.Stamp{Incarnation: s.incarnation, Counter: s.counter},
		Address: s.address, Area: s.options.Area, Workers: workers}
}

// registries lists where registries may be reached: where they said they are, then the seeds.
func (s *Server) registries() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var seats []string
	for seat := range s.cores {
		seats = append(seats, seat)
	}
	sort.Strings(seats)
	var addresses []string
	seen := map[string]bool{}
	for _, seat := range seats {
		if address := s.cores[seat].Address; !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range options.List(s.given().Seeds) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (s *Server) learn(cores []*schema.Core) {
	for _, core := range cores {
		if held := s.cores[core.Seat]; held == nil || core.Incarnation > held.Incarnation {
			s.cores[core.Seat] = core
		}
	}
}

// renew keeps the lease with one of the registries, the i-th of those known, of so many loops.
func (s *Server) renew(ctx context.Context, i, loops int) {
	ticker := time.NewTicker(s.lease / renewParts)
	defer ticker.Stop()
	for {
		addresses := s.registries()
		for place, address := range addresses {
			// Each loop minds the addresses of its own place.
			if place%loops == i {
				s.renewAt(ctx, address, 0)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tellKnown lets a majority of registries know of a setup before this proxy uses it. Were
// this proxy restarted after it, one of any majority would refuse it a lease below that.
func (s *Server) tellKnown(ctx context.Context, sequence uint64) bool {
	addresses := s.registries()
	seats := make(chan string, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, s.lease/renewParts)
	var asking sync.WaitGroup
	for _, address := range addresses {
		asking.Go(func() { seats <- s.renewAt(bounded, address, sequence) })
	}
	// The majority is enough to go on by, but a call cut short would take its link with it.
	go func() {
		asking.Wait()
		cancel()
	}()
	heard := map[string]bool{}
	for range addresses {
		if seat := <-seats; seat != "" {
			heard[seat] = true
		}
		s.lock.Lock()
		enough := s.seats > 0 && len(heard) > s.seats/2
		s.lock.Unlock()
		if enough {
			return true
		}
	}
	return false
}

// renewAt asks one registry to renew; the grant counts from before it was asked. It gives
// the seat that answered, whether it granted or not.
func (s *Server) renewAt(ctx context.Context, address string, knows uint64) string {
	bounded, cancel := context.WithTimeout(ctx, s.lease/renewParts)
	defer cancel()
	asked := s.now()
	applied := s.journal.View().setup.Sequence
	reply, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Lease(bounded, &schema.Renew{Proxy: s.options.Name, Incarnation: s.life, Applied: applied, Knows: knows, LeaseNanos: int64(s.lease)})
	if err != nil {
		return ""
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.learn(reply.Cores)
	s.seats = max(s.seats, int(reply.Seats))
	s.members.Store(s.fleet.Note(s.now(), int64(reply.Members)))
	switch {
	case reply.Stable <= applied:
		s.behind = 0
	// Some registry knows more than the one that feeds this proxy: change over if it lasts.
	case s.behind == 0:
		s.behind = asked
	case asked-s.behind > s.lease/lagParts:
		s.behind = 0
		s.feedAt++
	}
	if !reply.Granted {
		return reply.Seat
	}
	s.granted.Granted(reply.Seat, int(reply.Seats), asked)
	return reply.Seat
}

// feedAddress is the registry this proxy has its session with.
func (s *Server) feedAddress() (string, int) {
	if serving(s.options) {
		s.lock.Lock()
		defer s.lock.Unlock()
		return s.tie.Current(), 0
	}
	addresses := s.registries()
	s.lock.Lock()
	defer s.lock.Unlock()
	// Proxies spread over the registries by name, and move on when theirs fails them.
	start := 0
	for _, letter := range s.options.Name {
		start = start*31 + int(letter)
	}
	if start < 0 {
		start = -start
	}
	return addresses[(start+s.feedAt)%len(addresses)], s.feedAt
}

// moveOn leaves a registry that failed, unless that was done already.
func (s *Server) moveOn(from int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.feedAt == from {
		s.feedAt++
	}
}

// lagging leaves a registry whose feed is behind what another proxy already has.
func (s *Server) lagging() {
	_, at := s.feedAddress()
	s.moveOn(at)
}

func (s *Server) pause(ctx context.Context, parts time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(s.lease / parts):
	}
}

// feed pulls what this proxy lacks, by its vector.
func (s *Server) feed(ctx context.Context) {
	for ctx.Err() == nil {
		address, at := s.feedAddress()
		held := s.journal.View()
		bounded, cancel := context.WithTimeout(ctx, s.lease/pollParts+s.lease/renewParts)
		go s.endWhenMoved(bounded, cancel, at)
		pulled, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Feed(bounded, &schema.Pull{Node: s.options.Name,
			Vector: held.Vector(), Setup: held.setup.Sequence, WaitNanos: int64(s.lease / pollParts)})
		cancel()
		if err != nil {
			s.moveOn(at)
			s.pause(ctx, retryParts)
			continue
		}
		s.lock.Lock()
		s.learn(pulled.Cores)
		s.lock.Unlock()
		s.mind(pulled.Sources)
		if len(pulled.Sources) == 0 && pulled.Setup <= held.setup.Sequence {
			continue
		}
		// The first setup needs no telling: without a lease nothing is shown by it yet.
		if pulled.Setup > held.setup.Sequence && held.setup.Sequence > 0 && !s.tellKnown(ctx, pulled.Setup) {
			s.pause(ctx, retryParts)
			continue
		}
		s.journal.Append(Event{At: s.now(), Setup: pulled.Setup, Items: pulled.Items, Whole: pulled.Whole, Sources: pulled.Sources})
		// An applied change is told at once: its acknowledgement may be waiting for this proxy.
		if pulled.Setup > held.setup.Sequence {
			for _, address := range s.registries() {
				go s.renewAt(ctx, address, 0)
			}
		}
	}
}

// endWhenMoved ends a poll when this proxy has left the registry it polls.
func (s *Server) endWhenMoved(ctx context.Context, cancel context.CancelFunc, at int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.lease / lagParts):
		}
		s.lock.Lock()
		moved := s.feedAt != at
		s.lock.Unlock()
		if moved {
			cancel()
			return
		}
	}
}

// tell reports workers and counts to the registry of this proxy's session.
func (s *Server) tell(ctx context.Context) {
	changed := true
	looked, any, judged := uint64(0), false, func(string) bool { return false }
	pause, countedAt := s.lease/countParts, time.Duration(0)
	if serving(s.options) {
		pause = countLeases * s.lease
	}
	for turn := 0; ; turn++ {
		// Loads and liveness are told every renewParts-th of a lease, a change at once; what was
		// seen of workers oftener, but only while some version is to be judged by it; counts of
		// verdicts, which nothing waits for, more seldom. In a session the registry sees that this
		// proxy lives, and hardly anything is told while nothing changes.
		due := changed || (!serving(s.options) && turn%(tellParts/renewParts) == 0)
		if setup := s.view().Setup; setup.Sequence != looked {
			judged, any = release.Judged(setup)
			looked = setup.Sequence
		}
		counts := s.now()-countedAt >= pause
		told := true
		if any || due || counts {
			if told = s.tellOnce(ctx, due, counts, judged); told && counts {
				countedAt = s.now()
			}
		}
		wait := time.After(pause)
		switch {
		case !told && due && serving(s.options):
			wait = time.After(s.lease / retryParts)
		case any || !serving(s.options):
			wait = time.After(s.lease / tellParts)
		}
		select {
		case <-ctx.Done():
			return
		case <-wait:
			changed = !told && due && serving(s.options)
		case <-s.lookNow:
			changed = false
		case <-s.tellNow:
			changed = true
		}
	}
}

// tellOnce reports what was seen of judged services, with whole this proxy's workers too, and
// counts of verdicts if they are wanted; it tells whether that went well.
func (s *Server) tellOnce(ctx context.Context, whole, counts bool, judged func(service string) bool) bool {
	defer s.trials.Forget()
	address, at := s.feedAddress()
	// Without a session there is nobody to tell.
	if address == "" {
		return false
	}
	var source *schema.Source
	switch {
	case whole && serving(s.options):
		source = s.source()
	case whole:
		s.workers.Sweep()
		source = s.source()
		view := s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{source}, Sweep: s.lease / sweepParts})
		s.facts.Keep(view.Known())
	}
	bounded, cancel := context.WithTimeout(ctx, s.lease/renewParts)
	asked, setup := s.now(), s.view().Setup
	report := &schema.Report{Proxy: s.options.Name, Incarnation: s.life, Source: source, Applied: setup.Sequence, Works: s.runner.Works.Tell(judged)}
	if counts {
		report.Counts = s.tally.Counts(setup.Sequence)
	}
	told, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Tell(bounded, report)
	cancel()
	if err == nil {
		s.trials.Granted(asked, told.Trials)
	} else if ctx.Err() == nil && !serving(s.options) {
		s.moveOn(at)
	}
	return err == nil
}
