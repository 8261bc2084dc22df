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

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/internal/statuspage"
	"meadowhinge/schema"
)

// ChangeRequest is what an operator sends: CUE text, the versions it was written against, an id.
type ChangeRequest struct {
	ID               string            `json:"id"`
	Config           string            `json:"setup"`
	ExpectedVersions map[string]uint64 `json:"expected"` // "kind/name" to version; absent means: is new
}

// ChangeResponse is what became of a change.
type ChangeResponse struct {
	ID              string               `json:"id"`
	Ruling          string               `json:"ruling"`
	Sequence        uint64               `json:"sequence,omitempty"`
	Term            uint64               `json:"epoch,omitempty"`
	Acknowledged    bool                 `json:"acknowledged"`
	LaggingProxies  []string             `json:"waiting,omitempty"` // proxies that may still use older rules
	CurrentVersions map[string]uint64    `json:"current,omitempty"`
	CurrentItems    []ItemView           `json:"standing,omitempty"` // on a conflict: what stands, and whose it is
	ErrorCode       errs.Code            `json:"defect,omitempty"`
	Faults          []*schema.FieldError `json:"faults,omitempty"`
}

// rulings names each ruling outside, with its status and defect.
var rulings = map[schema.Ruling]struct {
	name   string
	status int
	defect errs.Code
}{
	schema.Ruling_RULING_ACCEPTED: {"accepted", fasthttp.StatusOK, ""},
	schema.Ruling_RULING_INVALID:  {"invalid", fasthttp.StatusBadRequest, errs.InvalidConfig},
	schema.Ruling_RULING_CONFLICT: {"conflict", fasthttp.StatusConflict, errs.Conflict},
	schema.Ruling_RULING_STALE:    {"stale", fasthttp.StatusConflict, errs.StaleTerm},
	schema.Ruling_RULING_UNKNOWN:  {"unknown", fasthttp.StatusServiceUnavailable, errs.NoQuorum},
}

func newChangeResponse(id string, outcome *schema.ChangeOutcome) (int, *ChangeResponse) {
	ruling := rulings[outcome.GetRuling()]
	response := &ChangeResponse{ID: id, Ruling: ruling.name, ErrorCode: ruling.defect, Sequence: outcome.GetVersion().GetSequence(),
		Term: outcome.GetVersion().GetTerm(), Faults: outcome.GetFaults()}
	for _, expected := range outcome.GetCurrent() {
		if response.CurrentVersions == nil {
			response.CurrentVersions = map[string]uint64{}
		}
		response.CurrentVersions[config.Key(expected.Kind, expected.Name)] = expected.Sequence
	}
	return ruling.status, response
}

// serveOperators opens the operators' HTTP interface.
func (s *Server) serveOperators(address string) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "operator-listen")
	}
	// Each path and method has one page; what is not in the table does not exist.
	handlers := map[string]func(*fasthttp.RequestCtx){
		"POST /v1/changes": s.handleChange,
		"GET /v1/setup":    s.handleConfig,
		"GET /v1/verdicts": s.handleVerdicts,
		"GET /v1/workers":  s.handleWorkers,
		"GET /v1/releases": s.handleReleases,
		"GET /v1/status":   s.handleStatus,
		"POST /v1/explain": s.handleExplain,
	}
	server := &fasthttp.Server{Name: "meadowhinge", Concurrency: 1024, NoDefaultServerHeader: true, MaxRequestBodySize: int(s.initialOptions.SetupMost),
		ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, CloseOnShutdown: true,
		Handler: func(call *fasthttp.RequestCtx) {
			path := string(call.Path())
			if s.operatorAPI != nil && s.operatorAPI.Handle(call, s) {
				return
			}
			if id, matches := strings.CutPrefix(path, "/v1/changes/"); matches && call.IsGet() {
				s.handleOutcome(call, id)
				return
			}
			if id, matches := strings.CutPrefix(path, "/v1/trace/"); matches && call.IsGet() {
				s.handleTrace(call, id)
				return
			}
			handler, found := handlers[string(call.Method())+" "+path]
			if !found {
				daemon.WriteError(call, errs.New(errs.RouteNotFound, path), "", nil)
				return
			}
			handler(call)
			// What no majority answers now may be answered once a lease has been renewed again.
			if call.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
				call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(max(1, int64(s.leaseDuration/session.RenewalsPerLease/time.Second)), 10))
			}
		},
		ErrorHandler: func(call *fasthttp.RequestCtx, err error) {
			code := errs.MalformedRequest
			if err == fasthttp.ErrBodyTooLarge {
				code = errs.BodyTooLarge
			}
			daemon.WriteError(call, errs.Wrap(err, code, "request"), "", nil)
		}}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

func (s *Server) handleChange(call *fasthttp.RequestCtx) {
	request := &ChangeRequest{}
	decoder := json.NewDecoder(strings.NewReader(string(call.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.MalformedRequest, "change"), "", nil)
		return
	}
	if request.ID == "" || len(request.ID) > 128 {
		daemon.WriteError(call, errs.New(errs.MalformedRequest, "a change needs an id of 1 to 128 bytes"), "", nil)
		return
	}
	items, faults := configsource.Parse([]byte(request.Config))
	if len(faults) > 0 {
		daemon.WriteJSON(call, fasthttp.StatusBadRequest, &ChangeResponse{ID: request.ID, Ruling: "invalid", ErrorCode: errs.InvalidConfig, Faults: faults})
		return
	}
	change := &schema.Change{Id: request.ID, Items: items}
	for key, sequence := range request.ExpectedVersions {
		kind, name, _ := strings.Cut(key, "/")
		change.Expected = append(change.Expected, &schema.ExpectedVersion{Kind: kind, Name: name, Sequence: sequence})
	}
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(s.currentOptions().AnswerMost))
	defer cancel()
	reply := s.propose(bounded, change)
	if reply == nil {
		// Not known is not refused: the change may yet come into force, so the id is to be asked about.
		daemon.WriteJSON(call, fasthttp.StatusServiceUnavailable, &ChangeResponse{ID: request.ID, Ruling: "unknown", ErrorCode: errs.NoQuorum})
		return
	}
	status, response := newChangeResponse(request.ID, reply.Outcome)
	if reply.Outcome.Ruling == schema.Ruling_RULING_CONFLICT {
		s.lock.Lock()
		for _, item := range items {
			if current := s.configState[config.Key(item.Kind, item.Name)]; current != nil && !current.Deleted {
				response.CurrentItems = append(response.CurrentItems, newItemView(current))
			}
		}
		s.lock.Unlock()
	}
	if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		response.LaggingProxies = s.awaitAcknowledgement(bounded, response.Sequence)
		response.Acknowledged = response.LaggingProxies == nil
		// In force, but some proxy could not be heard: not yet the promise that a 200 makes.
		if !response.Acknowledged {
			status = fasthttp.StatusAccepted
		}
	}
	daemon.WriteJSON(call, status, response)
}

// propose hands a change to the store until it is decided. Asking again is safe: the id of a
// change that was taken gives its first outcome. nil means that it is not known.
func (s *Server) propose(ctx context.Context, change *schema.Change) *schema.ProposalReply {
	for {
		reply, err := s.store.Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && !reply.Undecided {
			return reply
		}
		s.waitLeaseFraction(ctx, retryPauseDivisor)
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (s *Server) handleOutcome(call *fasthttp.RequestCtx, id string) {
	bounded, cancel := context.WithTimeout(context.Background(), s.leaseDuration/session.RenewalsPerLease)
	defer cancel()
	reply, err := s.store.Inquire(bounded, &schema.ChangeQuery{ChangeId: id})
	if err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.NoQuorum, "store"), "", nil)
		return
	}
	if reply.Undecided {
		daemon.WriteError(call, errs.New(errs.ChangeNotFound, id), "", nil)
		return
	}
	_, response := newChangeResponse(id, reply.Outcome)
	if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		response.LaggingProxies = s.awaitAcknowledgement(bounded, response.Sequence)
		response.Acknowledged = response.LaggingProxies == nil
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}

// ChangeTrace is what one core machine saw of a change; times are those of its own clock.
type ChangeTrace struct {
	MemberID         string               `json:"seat"`
	KnownToStore     bool                 `json:"known"` // by the store here
	Ruling           string               `json:"ruling,omitempty"`
	Sequence         uint64               `json:"sequence,omitempty"`
	Term             uint64               `json:"epoch,omitempty"`
	Leader           string               `json:"holder,omitempty"` // of the admission duty
	Appended         time.Time            `json:"taken"`
	Durable          time.Time            `json:"synced"`
	Committed        time.Time            `json:"stable"`
	Seen             time.Time            `json:"seen"`         // by the registry here
	Acknowledged     time.Time            `json:"acknowledged"` // to the operator, by the registry here
	Applied          map[string]time.Time `json:"applied"`      // by proxy, as told to the registry here
	Laggards         []string             `json:"missing"`      // proxies with a lease here that have not applied it
	StoreUnreachable bool                 `json:"storeSilent"`
}

// handleTrace tells what this core machine saw of a change.
func (s *Server) handleTrace(call *fasthttp.RequestCtx, id string) {
	bounded, cancel := context.WithTimeout(context.Background(), s.leaseDuration/session.RenewalsPerLease)
	defer cancel()
	response := ChangeTrace{MemberID: s.initialOptions.Seat, Applied: map[string]time.Time{}}
	storeTrace, err := s.store.Trace(bounded, &schema.ChangeQuery{ChangeId: id})
	if err != nil {
		response.StoreUnreachable = true
		daemon.WriteJSON(call, fasthttp.StatusOK, response)
		return
	}
	wallTime := func(nanos int64) time.Time {
		if nanos == 0 {
			return time.Time{}
		}
		return time.Unix(0, nanos)
	}
	response.KnownToStore, response.Leader = storeTrace.Known, storeTrace.Leader
	response.Appended, response.Durable, response.Committed = wallTime(storeTrace.Appended), wallTime(storeTrace.Durable), wallTime(storeTrace.Committed)
	if storeTrace.Known {
		response.Ruling, response.Sequence, response.Term = rulings[storeTrace.Outcome.Ruling].name, storeTrace.Outcome.Version.Sequence, storeTrace.Outcome.Version.Term
		s.lock.Lock()
		localTime := func(at time.Duration) time.Time {
			if at == 0 {
				return time.Time{}
			}
			return s.startedAt.Add(at)
		}
		if registryTrace := s.fleetState.traces[response.Sequence]; registryTrace != nil {
			response.Seen, response.Acknowledged = localTime(registryTrace.seenAt), localTime(registryTrace.acknowledgedAt)
			for proxy, at := range registryTrace.appliedAt {
				response.Applied[proxy] = localTime(at)
			}
		}
		for _, standing := range s.fleetState.Leases(s.now()) {
			if standing.Applied < response.Sequence {
				response.Laggards = append(response.Laggards, standing.Proxy)
			}
		}
		s.lock.Unlock()
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}

// ItemView is an item as operators see it.
type ItemView struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Change  string          `json:"change,omitempty"` // the id of the change that wrote it
	Body    json.RawMessage `json:"body,omitempty"`
}

func newItemView(item *schema.Item) ItemView {
	return ItemView{item.Kind, item.Name, item.Version.GetSequence(), item.ChangeId, item.Body}
}

// ConfigView is the stable setup as operators see it.
type ConfigView struct {
	Sequence uint64     `json:"sequence"`
	Items    []ItemView `json:"items"`
}

func (s *Server) handleConfig(call *fasthttp.RequestCtx) {
	s.lock.Lock()
	view := ConfigView{Sequence: s.fleetState.committedRevision, Items: []ItemView{}}
	items := s.configState.Items()
	caughtUp := s.fleetState.caughtUp
	s.lock.Unlock()
	// A registry that has not caught up might show an older setup than was shown before.
	if !caughtUp {
		daemon.WriteError(call, errs.New(errs.NoQuorum, "this registry has not caught up"), "", nil)
		return
	}
	for _, item := range items {
		if !item.Deleted && item.Kind != config.KindPurged {
			view.Items = append(view.Items, newItemView(item))
		}
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, view)
}

// collectCounts gathers the counts of all registries, each proxy's once.
func (s *Server) collectCounts(ctx context.Context) []*schema.SourceCounts {
	answers := callOtherRegistries(ctx, s, s.leaseDuration/session.RenewalsPerLease, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsReply, error) {
		return peer.Counts(ctx, &schema.CountsRequest{})
	})
	return MergeCounts(append(answers, s.localCounts(false)))
}

// configSnapshot is the stable setup; it is compiled only when somebody asks.
func (s *Server) configSnapshot() *config.Snapshot {
	snapshot, _ := s.configSnapshotAndState()
	return snapshot
}

// configSnapshotAndState is the stable setup beside the items it was made of.
func (s *Server) configSnapshotAndState() (*config.Snapshot, config.State) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.snapshotFresh {
		s.snapshot, _ = config.CompileIncremental(s.snapshot, s.configState, s.fleetState.committedRevision)
		s.snapshotFresh = true
	}
	return s.snapshot, s.configState
}

// VerdictCount is one line of verdict counts.
type VerdictCount struct {
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

func (s *Server) handleVerdicts(call *fasthttp.RequestCtx) {
	sums := map[VerdictCount]*schema.VerdictCount{}
	for _, counts := range s.collectCounts(context.Background()) {
		for _, count := range counts.Counts {
			key := VerdictCount{Flag: count.Flag, Service: count.Service, Variation: count.Variation, Reason: count.Reason, Rule: count.Rule, Route: count.Route, Outcome: count.Outcome}
			if sums[key] == nil {
				sums[key] = &schema.VerdictCount{}
			}
			sums[key].Calls += count.Calls
			sums[key].Failures += count.Failures
			sums[key].TotalNanos += count.TotalNanos
		}
	}
	verdictCounts := []VerdictCount{}
	for key, sum := range sums {
		key.Calls, key.Failures = sum.Calls, sum.Failures
		if sum.Calls > 0 {
			key.MeanMS = float64(sum.TotalNanos) / float64(sum.Calls) / float64(time.Millisecond)
		}
		verdictCounts = append(verdictCounts, key)
	}
	sort.Slice(verdictCounts, func(i, j int) bool {
		a, b := verdictCounts[i], verdictCounts[j]
		return a.Service+"\x00"+a.Variation+"\x00"+a.Reason+"\x00"+a.Route+"\x00"+a.Outcome < b.Service+"\x00"+b.Variation+"\x00"+b.Reason+"\x00"+b.Route+"\x00"+b.Outcome
	})
	daemon.WriteJSON(call, fasthttp.StatusOK, verdictCounts)
}

// WorkerView is a worker as operators see it.
type WorkerView struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Version  string  `json:"version"`
	Zone     string  `json:"area"`
	Proxy    string  `json:"proxy"`
	Load     float64 `json:"load"`
	State    string  `json:"state"`
}

func (s *Server) handleWorkers(call *fasthttp.RequestCtx) {
	s.lock.Lock()
	sources := s.fleetState.SourcesNewerThan(s.now(), nil)
	s.lock.Unlock()
	views := []WorkerView{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			state := "serving"
			if worker.Draining {
				state = "leaving"
			}
			views = append(views, WorkerView{worker.Instance, worker.Service, worker.Version, worker.Zone, source.Name, worker.Load, state})
		}
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, views)
}

// CoreStatus is the core as operators see it.
type CoreStatus struct {
	Store       *statuspage.Replica      `json:"store,omitempty"`
	Registries  []*statuspage.Registry   `json:"registries"`
	CoreMembers []*statuspage.CoreMember `json:"cores"`
	LiveProxies int                      `json:"members"`
}

func (s *Server) handleStatus(call *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), s.leaseDuration/session.RenewalsPerLease)
	defer cancel()
	statuses := append([]*schema.RegistryStatus{s.registryStatus()}, callOtherRegistries(bounded, s, s.leaseDuration/session.RenewalsPerLease,
		func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.RegistryStatus, error) {
			return peer.Look(ctx, &schema.Empty{})
		})...)
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Member < statuses[j].Member })
	status := &CoreStatus{Registries: statuspage.RegistriesOf(statuses)}
	// A store that does not answer is left out of the page.
	if replica, err := s.store.Look(bounded, &schema.Empty{}); err == nil {
		status.Store = statuspage.ReplicaOf(replica)
	}
	s.lock.Lock()
	status.CoreMembers, status.LiveProxies = statuspage.CoreMembersOf(s.reachableMembers()), s.fleetState.LiveProxies(s.now())
	s.lock.Unlock()
	daemon.WriteJSON(call, fasthttp.StatusOK, status)
}

// ExplainRequest is a request to be explained, not sent.
type ExplainRequest struct {
	Caller   string            `json:"caller"`
	Host     string            `json:"host,omitempty"`
	Identity string            `json:"identity,omitempty"` // the key, where the route names no header
	Method   string            `json:"method"`
	Path     string            `json:"path"`
	Zone     string            `json:"area"`
	Headers  map[string]string `json:"headers"`
}

// ExplainResponse says which version a request would get, and why.
type ExplainResponse struct {
	Route      string       `json:"route"`
	Service    string       `json:"service"`
	Class      config.Class `json:"class"`
	Deadline   string       `json:"horizon"`
	Verdict    plan.Verdict `json:"verdict"`
	Candidates []string     `json:"pool"`
	Policy     string       `json:"policy,omitempty"`  // that the route names
	Refused    bool         `json:"refused,omitempty"` // by it

	Split *plan.Verdict `json:"split,omitempty"` // which service, of a route that is split
}

// noFacts is for plans that are explained, not carried out.
type noFacts struct{}

func (noFacts) Stats(worker *plan.Endpoint, _ time.Duration) plan.EndpointStats {
	return plan.EndpointStats{Slots: worker.Slots, ServiceTime: worker.ServiceTime, OtherInFlight: float64(worker.Running + worker.Waiting)}
}
func (noFacts) VersionBlocked(string, string, time.Duration) bool { return false }

func (s *Server) handleExplain(call *fasthttp.RequestCtx) {
	query := &ExplainRequest{}
	if err := json.Unmarshal(call.PostBody(), query); err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.MalformedRequest, "question"), "", nil)
		return
	}
	snapshot := s.configSnapshot()
	s.lock.Lock()
	view := &plan.View{Config: snapshot, Directory: plan.DirectoryOf(s.fleetState.SourcesNewerThan(s.now(), nil), nil, nil)}
	s.lock.Unlock()
	headers := map[string]string{}
	for name, value := range query.Headers {
		headers[strings.ToLower(name)] = value
	}
	request := &plan.Request{Caller: query.Caller, Host: query.Host, Identity: query.Identity, Method: query.Method, Path: query.Path,
		Header: func(name string) (string, bool) { value, found := headers[strings.ToLower(name)]; return value, found }}
	decision, err := plan.Make(view, request, plan.Options{Zone: query.Zone, MaxDeadline: time.Hour}, noFacts{}, 0, func() float64 { return 0 })
	refused := errs.CodeOf(err) == errs.PolicyDenied && err != nil
	// A service of which no version is known yet has a verdict that says so.
	if err != nil && decision == nil {
		daemon.WriteError(call, err, "", nil)
		return
	}
	response := ExplainResponse{Route: decision.Route.Name, Service: decision.Service, Class: decision.Class, Deadline: decision.Deadline.String(), Verdict: decision.Verdict, Candidates: []string{},
		Policy: decision.Route.PolicyName, Refused: refused}
	if decision.Split.Flag != "" {
		response.Split = &decision.Split
	}
	for _, candidate := range decision.Candidates {
		response.Candidates = append(response.Candidates, candidate.Instance)
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}
