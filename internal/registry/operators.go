package registry

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/internal/setup"
	"meadowhinge/internal/statement"
	"meadowhinge/schema"
)

// Submission is what an operator sends: CUE text, the versions it was written against, an id.
type Submission struct {
	ID       string            `json:"id"`
	Setup    string            `json:"setup"`
	Expected map[string]uint64 `json:"expected"` // "kind/name" to version; absent means: is new
}

// Answer is what became of a change.
type Answer struct {
	ID           string            `json:"id"`
	Ruling       string            `json:"ruling"`
	Sequence     uint64            `json:"sequence,omitempty"`
	Epoch        uint64            `json:"epoch,omitempty"`
	Acknowledged bool              `json:"acknowledged"`
	Waiting      []string          `json:"waiting,omitempty"` // proxies that may still use older rules
	Current      map[string]uint64 `json:"current,omitempty"`
	Standing     []ShownItem       `json:"standing,omitempty"` // on a conflict: what stands, and whose it is
	Defect       defect.Kind       `json:"defect,omitempty"`
	Faults       []*schema.Fault   `json:"faults,omitempty"`
}

// rulings names each ruling outside, with its status and defect.
var rulings = map[schema.Ruling]struct {
	name   string
	status int
	defect defect.Kind
}{
	schema.Ruling_RULING_ACCEPTED: {"accepted", fasthttp.StatusOK, ""},
	schema.Ruling_RULING_INVALID:  {"invalid", fasthttp.StatusBadRequest, defect.BadSetup},
	schema.Ruling_RULING_CONFLICT: {"conflict", fasthttp.StatusConflict, defect.Conflict},
	schema.Ruling_RULING_STALE:    {"stale", fasthttp.StatusConflict, defect.StaleDuty},
	schema.Ruling_RULING_UNKNOWN:  {"unknown", fasthttp.StatusServiceUnavailable, defect.NoMajority},
}

func answerOf(id string, outcome *schema.Outcome) (int, *Answer) {
	ruling := rulings[outcome.GetRuling()]
	answer := &Answer{ID: id, Ruling: ruling.name, Defect: ruling.defect, Sequence: outcome.GetVersion().GetSequence(),
		Epoch: outcome.GetVersion().GetEpoch(), Faults: outcome.GetFaults()}
	for _, one := range outcome.GetCurrent() {
		if answer.Current == nil {
			answer.Current = map[string]uint64{}
		}
		answer.Current[setup.Key(one.Kind, one.Name)] = one.Sequence
	}
	return ruling.status, answer
}

// serveOperators opens the operators' HTTP interface.
func (s *Server) serveOperators(address string) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, defect.Wrap(err, defect.BadOptions, "operator-listen")
	}
	// Each path and method has one page; what is not in the table does not exist.
	pages := map[string]func(*fasthttp.RequestCtx){
		"POST /v1/changes": s.pageChange,
		"GET /v1/setup":    s.pageSetup,
		"GET /v1/verdicts": s.pageVerdicts,
		"GET /v1/workers":  s.pageWorkers,
		"GET /v1/releases": s.pageReleases,
		"GET /v1/status":   s.pageStatus,
		"POST /v1/explain": s.pageExplain,
	}
	server := &fasthttp.Server{Name: "meadowhinge", Concurrency: 1024, NoDefaultServerHeader: true, MaxRequestBodySize: int(s.options.SetupMost),
		ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, CloseOnShutdown: true,
		Handler: func(call *fasthttp.RequestCtx) {
			path := string(call.Path())
			if s.speech != nil && s.speech.Handle(call, s) {
				return
			}
			if id, asks := strings.CutPrefix(path, "/v1/changes/"); asks && call.IsGet() {
				s.pageOutcome(call, id)
				return
			}
			if id, asks := strings.CutPrefix(path, "/v1/trace/"); asks && call.IsGet() {
				s.pageTrace(call, id)
				return
			}
			page, known := pages[string(call.Method())+" "+path]
			if !known {
				daemon.Refuse(call, defect.New(defect.NoRoute, path), "", nil)
				return
			}
			page(call)
			// What no majority answers now may be answered once a lease has been renewed again.
			if call.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
				call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(max(1, int64(s.lease/session.LeaseParts/time.Second)), 10))
			}
		},
		ErrorHandler: func(call *fasthttp.RequestCtx, err error) {
			kind := defect.Malformed
			if err == fasthttp.ErrBodyTooLarge {
				kind = defect.TooLarge
			}
			daemon.Refuse(call, defect.Wrap(err, kind, "request"), "", nil)
		}}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

func (s *Server) pageChange(call *fasthttp.RequestCtx) {
	submission := &Submission{}
	decoder := json.NewDecoder(strings.NewReader(string(call.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(submission); err != nil {
		daemon.Refuse(call, defect.Wrap(err, defect.Malformed, "change"), "", nil)
		return
	}
	if submission.ID == "" || len(submission.ID) > 128 {
		daemon.Refuse(call, defect.New(defect.Malformed, "a change needs an id of 1 to 128 bytes"), "", nil)
		return
	}
	items, faults := statement.Read([]byte(submission.Setup))
	if len(faults) > 0 {
		daemon.Answer(call, fasthttp.StatusBadRequest, &Answer{ID: submission.ID, Ruling: "invalid", Defect: defect.BadSetup, Faults: faults})
		return
	}
	change := &schema.Change{Id: submission.ID, Items: items}
	for key, sequence := range submission.Expected {
		kind, name, _ := strings.Cut(key, "/")
		change.Expected = append(change.Expected, &schema.Expected{Kind: kind, Name: name, Sequence: sequence})
	}
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(s.given().AnswerMost))
	defer cancel()
	submitted := s.offer(bounded, change)
	if submitted == nil {
		// Not known is not refused: the change may yet come into force, so the id is to be asked about.
		daemon.Answer(call, fasthttp.StatusServiceUnavailable, &Answer{ID: submission.ID, Ruling: "unknown", Defect: defect.NoMajority})
		return
	}
	status, answer := answerOf(submission.ID, submitted.Outcome)
	if submitted.Outcome.Ruling == schema.Ruling_RULING_CONFLICT {
		s.lock.Lock()
		for _, item := range items {
			if held := s.state[setup.Key(item.Kind, item.Name)]; held != nil && !held.Deleted {
				answer.Standing = append(answer.Standing, shownItem(held))
			}
		}
		s.lock.Unlock()
	}
	if submitted.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		answer.Waiting = s.acknowledge(bounded, answer.Sequence)
		answer.Acknowledged = answer.Waiting == nil
		// In force, but some proxy could not be heard: not yet the promise that a 200 makes.
		if !answer.Acknowledged {
			status = fasthttp.StatusAccepted
		}
	}
	daemon.Answer(call, status, answer)
}

// offer hands a change to the store until it is decided. Asking again is safe: the id of a
// change that was taken gives its first outcome. nil means that it is not known.
func (s *Server) offer(ctx context.Context, change *schema.Change) *schema.ProposalReply {
	for {
		submitted, err := s.store.Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && !submitted.Undecided {
			return submitted
		}
		s.pause(ctx, retryParts)
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (s *Server) pageOutcome(call *fasthttp.RequestCtx, id string) {
	bounded, cancel := context.WithTimeout(context.Background(), s.lease/session.LeaseParts)
	defer cancel()
	submitted, err := s.store.Inquire(bounded, &schema.Ask{ChangeId: id})
	if err != nil {
		daemon.Refuse(call, defect.Wrap(err, defect.NoMajority, "store"), "", nil)
		return
	}
	if submitted.Undecided {
		daemon.Refuse(call, defect.New(defect.UnknownChange, id), "", nil)
		return
	}
	_, answer := answerOf(id, submitted.Outcome)
	if submitted.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		answer.Waiting = s.acknowledge(bounded, answer.Sequence)
		answer.Acknowledged = answer.Waiting == nil
	}
	daemon.Answer(call, fasthttp.StatusOK, answer)
}

// Trace is what one core machine saw of a change; times are those of its own clock.
type Trace struct {
	Seat         string               `json:"seat"`
	Known        bool                 `json:"known"` // by the store here
	Ruling       string               `json:"ruling,omitempty"`
	Sequence     uint64               `json:"sequence,omitempty"`
	Epoch        uint64               `json:"epoch,omitempty"`
	Holder       string               `json:"holder,omitempty"` // of the admission duty
	Taken        time.Time            `json:"taken"`
	Synced       time.Time            `json:"synced"`
	Stable       time.Time            `json:"stable"`
	Seen         time.Time            `json:"seen"`         // by the registry here
	Acknowledged time.Time            `json:"acknowledged"` // to the operator, by the registry here
	Applied      map[string]time.Time `json:"applied"`      // by proxy, as told to the registry here
	Missing      []string             `json:"missing"`      // proxies with a lease here that have not applied it
	StoreSilent  bool                 `json:"storeSilent"`
}

// pageTrace tells what this core machine saw of a change.
func (s *Server) pageTrace(call *fasthttp.RequestCtx, id string) {
	bounded, cancel := context.WithTimeout(context.Background(), s.lease/session.LeaseParts)
	defer cancel()
	shown := Trace{Seat: s.options.Seat, Applied: map[string]time.Time{}}
	traced, err := s.store.Trace(bounded, &schema.Ask{ChangeId: id})
	if err != nil {
		shown.StoreSilent = true
		daemon.Answer(call, fasthttp.StatusOK, shown)
		return
	}
	wall := func(nanos int64) time.Time {
		if nanos == 0 {
			return time.Time{}
		}
		return time.Unix(0, nanos)
	}
	shown.Known, shown.Holder = traced.Known, traced.Leader
	shown.Taken, shown.Synced, shown.Stable = wall(traced.Appended), wall(traced.Durable), wall(traced.Committed)
	if traced.Known {
		shown.Ruling, shown.Sequence, shown.Epoch = rulings[traced.Outcome.Ruling].name, traced.Outcome.Version.Sequence, traced.Outcome.Version.Epoch
		s.lock.Lock()
		here := func(at time.Duration) time.Time {
			if at == 0 {
				return time.Time{}
			}
			return s.started.Add(at)
		}
		if seen := s.table.traces[shown.Sequence]; seen != nil {
			shown.Seen, shown.Acknowledged = here(seen.seen), here(seen.yes)
			for proxy, at := range seen.applied {
				shown.Applied[proxy] = here(at)
			}
		}
		for _, held := range s.table.Leases(s.now()) {
			if held.Applied < shown.Sequence {
				shown.Missing = append(shown.Missing, held.Proxy)
			}
		}
		s.lock.Unlock()
	}
	daemon.Answer(call, fasthttp.StatusOK, shown)
}

// ShownItem is an item as operators see it.
type ShownItem struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Change  string          `json:"change,omitempty"` // the id of the change that wrote it
	Body    json.RawMessage `json:"body,omitempty"`
}

func shownItem(item *schema.Item) ShownItem {
	return ShownItem{item.Kind, item.Name, item.Version.GetSequence(), item.Change, item.Body}
}

// Shown is the stable setup as operators see it.
type Shown struct {
	Sequence uint64      `json:"sequence"`
	Items    []ShownItem `json:"items"`
}

func (s *Server) pageSetup(call *fasthttp.RequestCtx) {
	s.lock.Lock()
	shown := Shown{Sequence: s.table.stable, Items: []ShownItem{}}
	items := s.state.Items()
	current := s.table.current
	s.lock.Unlock()
	// A registry that has not caught up might show an older setup than was shown before.
	if !current {
		daemon.Refuse(call, defect.New(defect.NoMajority, "this registry has not caught up"), "", nil)
		return
	}
	for _, item := range items {
		if !item.Deleted && item.Kind != setup.Purged {
			shown.Items = append(shown.Items, shownItem(item))
		}
	}
	daemon.Answer(call, fasthttp.StatusOK, shown)
}

// allCounts gathers the counts of all registries, each proxy's once.
func (s *Server) allCounts(ctx context.Context) []*schema.SourceCounts {
	answers := others(ctx, s, s.lease/session.LeaseParts, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsBack, error) {
		return peer.Counts(ctx, &schema.CountsAsk{})
	})
	return MostOf(append(answers, s.countsHere(false)))
}

// MostOf keeps, of each proxy's incarnation, the tellings that counted most.
func MostOf(answers []*schema.CountsBack) []*schema.SourceCounts {
	most := map[leaseKey]*schema.SourceCounts{}
	var all []*schema.SourceCounts
	for _, answer := range answers {
		for _, told := range answer.Sources {
			key := leaseKey{told.Proxy, told.Incarnation}
			held := most[key]
			if held == nil {
				held = &schema.SourceCounts{Proxy: told.Proxy, Incarnation: told.Incarnation, AgoNanos: told.AgoNanos}
				most[key] = held
				all = append(all, held)
			}
			if callsIn(told) > callsIn(held) {
				held.Counts = told.Counts
			}
			// Of two tellings that count the same, the later one has what is under way now.
			if worksIn(told) > worksIn(held) || (worksIn(told) == worksIn(held) && told.AgoNanos <= held.AgoNanos) {
				held.Works = told.Works
			}
			held.Applied, held.AgoNanos = max(held.Applied, told.Applied), min(held.AgoNanos, told.AgoNanos)
		}
	}
	return all
}

// compiled is the stable setup; it is compiled only when somebody asks.
func (s *Server) compiled() *setup.Setup {
	compiled, _ := s.compiledState()
	return compiled
}

// compiledState is the stable setup beside the items it was made of.
func (s *Server) compiledState() (*setup.Setup, setup.State) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.fresh {
		s.setup, _ = setup.CompileAfter(s.setup, s.state, s.table.stable)
		s.fresh = true
	}
	return s.setup, s.state
}

// VerdictLine is one line of verdict counts.
type VerdictLine struct {
	Flag      string  `json:"flag"`
	Service   string  `json:"service"`
	Variation string  `json:"variation"`
	Reason    string  `json:"reason"`
	Rule      string  `json:"rule,omitempty"`
	Route     string  `json:"route"`
	Outcome   string  `json:"outcome"`
	Calls     uint64  `json:"calls"`
	Failures  uint64  `json:"failures"`
	MeanMS    float64 `json:"meanMs"`
}

func (s *Server) pageVerdicts(call *fasthttp.RequestCtx) {
	sums := map[VerdictLine]*schema.Count{}
	for _, counts := range s.allCounts(context.Background()) {
		for _, one := range counts.Counts {
			key := VerdictLine{Flag: one.Flag, Service: one.Service, Variation: one.Variation, Reason: one.Reason, Rule: one.Rule, Route: one.Route, Outcome: one.Outcome}
			if sums[key] == nil {
				sums[key] = &schema.Count{}
			}
			sums[key].Calls += one.Calls
			sums[key].Failures += one.Failures
			sums[key].Nanos += one.Nanos
		}
	}
	lines := []VerdictLine{}
	for key, sum := range sums {
		key.Calls, key.Failures = sum.Calls, sum.Failures
		if sum.Calls > 0 {
			key.MeanMS = float64(sum.Nanos) / float64(sum.Calls) / float64(time.Millisecond)
		}
		lines = append(lines, key)
	}
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i], lines[j]
		return a.Service+"\x00"+a.Variation+"\x00"+a.Reason+"\x00"+a.Route+"\x00"+a.Outcome < b.Service+"\x00"+b.Variation+"\x00"+b.Reason+"\x00"+b.Route+"\x00"+b.Outcome
	})
	daemon.Answer(call, fasthttp.StatusOK, lines)
}

// ShownWorker is a worker as operators see it.
type ShownWorker struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Version  string  `json:"version"`
	Area     string  `json:"area"`
	Proxy    string  `json:"proxy"`
	Load     float64 `json:"load"`
	State    string  `json:"state"`
}

func (s *Server) pageWorkers(call *fasthttp.RequestCtx) {
	s.lock.Lock()
	sources := s.table.Feed(s.now(), nil)
	s.lock.Unlock()
	shown := []ShownWorker{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			state := "serving"
			if worker.Leaving {
				state = "leaving"
			}
			shown = append(shown, ShownWorker{worker.Instance, worker.Service, worker.Version, worker.Area, source.Name, worker.Load, state})
		}
	}
	daemon.Answer(call, fasthttp.StatusOK, shown)
}

// Status is the core as operators see it.
type Status struct {
	Store      *schema.ReplicaStatus    `json:"store,omitempty"`
	Registries []*schema.RegistryStatus `json:"registries"`
	Cores      []*schema.Core           `json:"cores"`
	Members    int                      `json:"members"`
}

func (s *Server) pageStatus(call *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), s.lease/session.LeaseParts)
	defer cancel()
	here, _ := s.Look(bounded, nil)
	status := &Status{Registries: append([]*schema.RegistryStatus{here}, others(bounded, s, s.lease/session.LeaseParts,
		func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.RegistryStatus, error) {
			return peer.Look(ctx, &schema.Nothing{})
		})...)}
	sort.Slice(status.Registries, func(i, j int) bool { return status.Registries[i].Seat < status.Registries[j].Seat })
	status.Store, _ = s.store.Look(bounded, &schema.Nothing{})
	s.lock.Lock()
	status.Cores, status.Members = s.coreList(), s.table.Members(s.now())
	s.lock.Unlock()
	daemon.Answer(call, fasthttp.StatusOK, status)
}

// Question is a request to be explained, not sent.
type Question struct {
	Caller   string            `json:"caller"`
	Host     string            `json:"host,omitempty"`
	Identity string            `json:"identity,omitempty"` // the key, where the route names no header
	Method   string            `json:"method"`
	Path     string            `json:"path"`
	Area     string            `json:"area"`
	Headers  map[string]string `json:"headers"`
}

// Explanation says which version a request would get, and why.
type Explanation struct {
	Route   string       `json:"route"`
	Service string       `json:"service"`
	Class   setup.Class  `json:"class"`
	Horizon string       `json:"horizon"`
	Verdict plan.Verdict `json:"verdict"`
	Pool    []string     `json:"pool"`
	Policy  string       `json:"policy,omitempty"`  // that the route names
	Refused bool         `json:"refused,omitempty"` // by it

	Split *plan.Verdict `json:"split,omitempty"` // which service, of a route that is split
}

// noFacts is for plans that are explained, not carried out.
type noFacts struct{}

func (noFacts) See(worker *plan.Candidate, _ time.Duration) plan.Seen {
	return plan.Seen{Slots: worker.Slots, Pace: worker.Pace, Others: float64(worker.Running + worker.Waiting)}
}
func (noFacts) Held(string, string, time.Duration) bool { return false }

func (s *Server) pageExplain(call *fasthttp.RequestCtx) {
	question := &Question{}
	if err := json.Unmarshal(call.PostBody(), question); err != nil {
		daemon.Refuse(call, defect.Wrap(err, defect.Malformed, "question"), "", nil)
		return
	}
	compiled := s.compiled()
	s.lock.Lock()
	view := &plan.View{Setup: compiled, Directory: plan.DirectoryOf(s.table.Feed(s.now(), nil), nil, nil)}
	s.lock.Unlock()
	headers := map[string]string{}
	for name, value := range question.Headers {
		headers[strings.ToLower(name)] = value
	}
	request := &plan.Request{Caller: question.Caller, Host: question.Host, Identity: question.Identity, Method: question.Method, Path: question.Path,
		Header: func(name string) (string, bool) { value, found := headers[strings.ToLower(name)]; return value, found }}
	made, err := plan.Make(view, request, plan.Options{Area: question.Area, HorizonMost: time.Hour}, noFacts{}, 0, func() float64 { return 0 })
	refused := defect.KindOf(err) == defect.PolicyRefused && err != nil
	// A service of which no version is known yet has a verdict that says so.
	if err != nil && made == nil {
		daemon.Refuse(call, err, "", nil)
		return
	}
	explained := Explanation{Route: made.Route.Name, Service: made.Service, Class: made.Class, Horizon: made.Horizon.String(), Verdict: made.Verdict, Pool: []string{},
		Policy: made.Route.PolicyName, Refused: refused}
	if made.Split.Flag != "" {
		explained.Split = &made.Split
	}
	for _, one := range made.Candidates {
		explained.Pool = append(explained.Pool, one.Instance)
	}
	daemon.Answer(call, fasthttp.StatusOK, explained)
}
