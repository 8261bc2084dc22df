package registry

import (
	"context"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	peerBeats  = 4 // beats of a session between registries: bytes between zones are dear
	youngParts = 2 // how long a registry that has just started may keep its setup to itself
)

// beats lets all sessions send their signs of life in one go, so that an idle registry wakes once
// for all of them, and has a look at the roster.
func (s *Server) beats(ctx context.Context) {
	ticker := time.NewTicker(s.lease / session.BeatParts)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.lock.Lock()
		before := s.table.roster.place
		s.table.sweep(s.now())
		if s.table.roster.place != before {
			s.announce()
		}
		close(s.beat)
		s.beat = make(chan struct{})
		s.lock.Unlock()
	}
}

// Attend serves a session: what the node lacks at first, then whatever is new.
func (s *Server) Attend(asked *schema.Attending, stream schema.DRPCRegistry_AttendStream) error {
	ctx := stream.Context()
	peer := asked.Core != nil
	if peer {
		if err := s.isRegistry(ctx); err != nil {
			return err
		}
	} else if err := s.isProxy(ctx, asked.Node); err != nil {
		return err
	}
	if (asked.Source != nil && asked.Source.Name != asked.Node) || (asked.Trial && peer) {
		return defect.New(defect.Stranger, asked.Node)
	}
	s.lock.Lock()
	s.table.Differs(asked.Node, "lease", time.Duration(asked.LeaseNanos).String(), s.lease.String(), asked.LeaseNanos != 0)
	s.table.Learn(s.now(), asked.Vector)
	moved := s.learnCore(asked.Core)
	switch {
	case asked.Trial:
		s.table.Visit(asked.Node)
	case asked.Source != nil:
		moved = s.table.Arrive(s.now(), asked.Source) || moved
	}
	if moved {
		s.announce()
	}
	s.lock.Unlock()
	if asked.Trial || asked.Source != nil {
		s.log.V(1).Info("session begins", "proxy", asked.Node)
		defer func() {
			s.lock.Lock()
			s.table.Depart(s.now(), asked.Node)
			s.lock.Unlock()
			s.log.V(1).Info("session ends", "proxy", asked.Node)
		}()
	}
	told := &telling{position: NewPosition(asked.Node, asked.GetCore().GetSeat(), asked.Vector), peer: peer, setup: asked.Setup}
	for onBeat := true; ; {
		s.lock.Lock()
		news, worth := s.newsFor(told)
		moved, beat := s.moved, s.beat
		s.lock.Unlock()
		if worth || onBeat && signDue(s.now()-told.at, time.Duration(asked.BeatNanos), s.lease) {
			if err := stream.Send(news); err != nil {
				return err
			}
			told.at = s.now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-beat:
			onBeat = true
			continue
		case <-moved:
		}
		// News come in flocks: those of a moment are sent together.
		s.pause(ctx, batchParts)
		select {
		case <-beat:
			onBeat = true
		default:
			onBeat = false
		}
	}
}

// signDue tells, at a beat, whether a session's node that was told something so long ago is owed a sign
// of life now: by the next beat it would have waited for longer than it was promised. News between
// two beats must not put the next sign off, or whoever hears it would take this registry for silent.
func signDue(since, promised, lease time.Duration) bool {
	return since+lease/session.BeatParts > promised+lease/batchParts
}

// telling is what a session's node has been told.
type telling struct {
	position *Position
	peer     bool
	setup    uint64
	cores    []*schema.Core
	members  uint32
	begun    bool
	at       time.Duration
}

// newsFor makes what a node is to be told now, and tells whether it is worth more than a sign of
// life; the caller holds the lock.
func (s *Server) newsFor(told *telling) (news *schema.News, worth bool) {
	now := s.now()
	news = &schema.News{Sources: s.table.News(now, told.position)}
	age, known := s.table.Age(now)
	// A registry that has just started may hold an older setup than was promised in an earlier
	// life. It finds out what is newest first, unless the core cannot tell.
	if news.Vouched, news.AgeNanos = known, int64(age); s.shows(now) {
		if news.Setup = s.table.stable; !told.peer && news.Setup > told.setup {
			news.Items, news.Whole = s.state.After(told.setup)
			news.Items = unsaid(news.Items)
			told.setup = news.Setup
			worth = true
		}
	} else {
		news.Vouched = false
	}
	if cores := s.coreList(); !sameCores(cores, told.cores) {
		told.cores, news.Cores = cores, cores
		worth = true
	}
	if told.peer {
		news.Reached = s.table.Reached(now)
	}
	if members := uint32(s.table.Members(now)); !told.peer && members != told.members {
		told.members, news.Members = members, members
		worth = true
	}
	worth = worth || !told.begun || len(news.Sources) > 0
	told.begun = true
	return news, worth
}

// shows tells whether this registry may show its setup.
func (s *Server) shows(now time.Duration) bool {
	return s.table.current || now >= s.lease/youngParts
}

// attendPeer has a session with the registry at an address, and begins another when it ends.
func (s *Server) attendPeer(ctx context.Context, address string) {
	for ctx.Err() == nil {
		seat, err := s.attendOnce(ctx, address)
		if seat != "" && ctx.Err() == nil {
			s.log.V(1).Info("registry lost", "at", address, "why", defect.KindOf(err))
		}
		s.pause(ctx, retryParts)
	}
}

// attendOnce has one session with a registry; it gives its seat if it was heard.
func (s *Server) attendOnce(ctx context.Context, address string) (seat string, err error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	// A registry that says nothing for a lease is as good as gone.
	watch := time.AfterFunc(s.lease, cancel)
	defer watch.Stop()
	s.lock.Lock()
	asked := &schema.Attending{Node: "registry/" + s.options.Seat, Vector: s.table.Vector(), Core: s.cores[s.options.Seat], LeaseNanos: int64(s.lease),
		BeatNanos: int64(peerBeats * s.lease / session.BeatParts)}
	s.lock.Unlock()
	stream, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Attend(bounded, asked)
	if err != nil {
		return "", defect.Wrap(err, defect.LinkUnopened, address)
	}
	for {
		news, err := stream.Recv()
		if err != nil {
			return seat, defect.Wrap(err, defect.LinkLost, address)
		}
		watch.Reset(s.lease)
		if seat == "" {
			s.log.V(1).Info("registry heard", "at", address)
		}
		s.lock.Lock()
		changed := false
		for _, core := range news.Cores {
			changed = s.learnCore(core) || changed
			if core.Address == address {
				seat = core.Seat
			}
		}
		for _, source := range news.Sources {
			changed = s.table.Merge(s.now(), source) || changed
		}
		if seat != "" {
			s.table.Reach(s.now(), seat, news.Reached)
		}
		if changed {
			s.announce()
		}
		s.lock.Unlock()
	}
}

// keepLevel keeps this registry level with the one at an address: by a session, or by polls
// where an order rules.
func (s *Server) keepLevel(ctx context.Context, address string) {
	if s.order == nil {
		s.attendPeer(ctx, address)
	} else {
		s.pullFrom(ctx, address)
	}
}
