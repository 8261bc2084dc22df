package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/options"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// settle finds an incarnation above all that registries saw of this proxy's name. Whatever is
// seen later that is higher still, mind goes beyond.
func (s *Server) settle(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := s.registries()
		greeted := make(chan *schema.Greeted, len(addresses))
		bounded, cancel := context.WithTimeout(ctx, s.lease/renewParts)
		for _, address := range addresses {
			go func() {
				back, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Greet(bounded, &schema.Greeting{Proxy: s.options.Name})
				if err != nil {
					back = nil
				}
				greeted <- back
			}()
		}
		for range addresses {
			if back := <-greeted; back != nil {
				s.lock.Lock()
				s.life = session.NextIncarnation(back.Incarnation)
				s.incarnation, s.carrier.Incarnation = s.life, s.life
				s.lock.Unlock()
				s.takeUp(back.Workers)
				// A call cut short would take its link with it.
				time.AfterFunc(s.lease/renewParts, cancel)
				return
			}
		}
		cancel()
		s.pause(ctx, retryParts)
	}
}

// takeUp goes on with the worker beside this proxy that an earlier life of it told of.
func (s *Server) takeUp(told []*schema.Worker) {
	if s.options.Beside == "" || s.speeches.ids == 0 || len(told) != 1 {
		return
	}
	worker := told[0]
	s.workers.TakeUp(dispatch.Description{ID: worker.Instance, Address: s.options.Beside, Service: worker.Service, Version: worker.Version, Area: worker.Area,
		Slots: worker.Slots, WarmMS: time.Duration(worker.WarmNanos).Milliseconds(), BeatMS: s.speeches.ids.Milliseconds()})
}

// mind looks for what is said of this proxy itself: where an earlier life's word is higher than
// its own, or its own life was taken for ended, it tells of itself anew under a higher one.
func (s *Server) mind(sources []*schema.Source) {
	for _, source := range sources {
		if source.Name != s.options.Name {
			continue
		}
		s.lock.Lock()
		seen := source.Stamp.GetIncarnation()
		overtaken := session.Overtaken(s.incarnation, seen, source.Stamp.GetEnded())
		if overtaken {
			s.incarnation = session.NextIncarnation(seen)
		}
		s.lock.Unlock()
		if overtaken {
			s.log.V(1).Info("another life of this proxy was listed; telling anew")
			s.workersChanged()
		}
	}
}

// sitting is one session as it is kept up.
type sitting struct {
	address string
	end     context.CancelFunc
	trial   bool // beside the session that counts
}

// heard is what came of a session: a sign of life, or its end.
type heard struct {
	sitting *sitting
	news    *schema.News // nil for the end
	err     error
}

// newTie makes the tie of this proxy as its settings have it.
func (s *Server) newTie() *session.Tie {
	return session.NewTie(session.TieOptions{Name: s.options.Name, Area: s.options.Area, Beat: s.lease / session.BeatParts, Silence: s.lease / session.SilenceParts,
		Lag: time.Duration(float64(s.lease) / session.LagParts), Back: s.lease}, options.List(s.options.Seeds))
}

// keepTie keeps a session with a registry.
func (s *Server) keepTie(ctx context.Context) {
	came := make(chan heard)
	sittings := map[string]*sitting{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var acts []session.TieAct
		select {
		case <-ctx.Done():
			return
		case one := <-came:
			// What is left of a session that was ended here says nothing of the next one.
			if sittings[one.sitting.address] != one.sitting {
				continue
			}
			if acts = s.sat(one); one.news == nil {
				one.sitting.end()
				delete(sittings, one.sitting.address)
			}
		case <-timer.C:
			s.lock.Lock()
			acts = s.tie.Tick(s.now())
			s.lock.Unlock()
		}
		for _, act := range acts {
			s.log.V(1).Info("registry", "at", act.Address, "opened", act.Open, "why", act.Why)
			if held := sittings[act.Address]; held != nil {
				held.end()
				delete(sittings, act.Address)
			}
			if act.Open {
				bounded, end := context.WithCancel(ctx)
				sittings[act.Address] = &sitting{act.Address, end, act.Trial}
				go s.attend(bounded, sittings[act.Address], act.Trial, came)
			}
		}
		s.workers.Sweep()
		s.lock.Lock()
		next, current := s.tie.Next(s.now()), sittings[s.tie.Current()]
		s.lock.Unlock()
		// A session on trial that is taken makes its registry the one to mind this proxy.
		if current != nil && current.trial {
			current.trial = false
			poke(s.tellNow)
		}
		timer.Reset(next - s.now())
	}
}

// sat tells the tie what came of a session.
func (s *Server) sat(one heard) []session.TieAct {
	s.lock.Lock()
	defer s.lock.Unlock()
	if one.news == nil {
		s.log.V(1).Info("session ended", "registry", one.sitting.address, "why", defect.KindOf(one.err))
		return s.tie.Ended(s.now(), one.sitting.address)
	}
	s.tie.Cores(one.news.Cores)
	return s.tie.Heard(s.now(), one.sitting.address, one.news.Vouched, time.Duration(one.news.AgeNanos))
}

// attend has one session with a registry. One on trial tells nothing of this proxy: were it given
// up, its registry would take the proxy for gone, though it has a session elsewhere.
func (s *Server) attend(ctx context.Context, sitting *sitting, trial bool, came chan<- heard) {
	tell := func(one heard) {
		select {
		case came <- one:
		case <-ctx.Done():
		}
	}
	held, asked := s.journal.View(), &schema.Attending{Node: s.options.Name, Trial: trial, BeatNanos: int64(s.lease / session.BeatParts), LeaseNanos: int64(s.lease)}
	if !trial {
		asked.Source = s.source()
		held = s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{asked.Source}})
	}
	asked.Vector, asked.Setup = held.Vector(), held.setup.Sequence
	stream, err := schema.NewDRPCRegistryClient(s.ends.To(ctx, sitting.address)).Attend(ctx, asked)
	for err == nil {
		var news *schema.News
		if news, err = stream.Recv(); err == nil {
			s.takeNews(news)
			tell(heard{sitting, news, nil})
		}
	}
	tell(heard{sitting, nil, err})
}

// takeNews folds what a registry sent into the picture.
func (s *Server) takeNews(news *schema.News) {
	now := s.now()
	before := s.journal.View().setup.Sequence
	if len(news.Sources) > 0 || news.Setup > before {
		view := s.journal.Append(Event{At: now, Setup: news.Setup, Items: news.Items, Whole: news.Whole, Sources: news.Sources})
		s.facts.Keep(view.Known())
		if view.setup.Sequence != before {
			s.log.V(1).Info("setup", "sequence", view.setup.Sequence)
			poke(s.lookNow)
		}
	}
	s.mind(news.Sources)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.learn(news.Cores)
	if len(news.Cores) > 0 {
		s.seats = len(news.Cores)
	}
	if news.Members > 0 {
		s.told = int64(news.Members)
	}
	s.members.Store(s.fleet.Note(now, s.told))
	// All that this registry had when it said so is in the picture now.
	if at := now - time.Duration(news.AgeNanos); news.Vouched && at > s.vouched {
		s.vouched = at
	}
}

// picture tells with which registry this proxy is in session and how old its picture may be.
func (s *Server) picture() (address string, age time.Duration, vouched bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.tie.Current(), s.now() - s.vouched, s.vouched > 0
}

// farewell tells that this proxy ends, so that nobody waits for it to come back.
func (s *Server) farewell() {
	address, _ := s.feedAddress()
	if !serving(s.options) || address == "" {
		return
	}
	source := s.source()
	source.Workers, source.Ended = nil, true
	bounded, cancel := context.WithTimeout(context.Background(), s.lease/renewParts)
	defer cancel()
	if _, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Tell(bounded, &schema.Report{Proxy: s.options.Name, Incarnation: s.life, Source: source}); err != nil {
		s.log.V(1).Info("left without a farewell", "why", defect.KindOf(err))
	}
}
