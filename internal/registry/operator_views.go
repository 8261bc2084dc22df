package registry

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/internal/statuspage"
	"meadowhinge/schema"
)

// ItemView is a configuration item as operators see it.
type ItemView struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`          // revision of the change that wrote the item
	Change  string          `json:"change,omitempty"` // id of the change that wrote the item
	Body    json.RawMessage `json:"body,omitempty"`   // content of the item as JSON
}

func newItemView(item *schema.Item) ItemView {
	return ItemView{
		Kind:    item.Kind,
		Name:    item.Name,
		Version: item.Version.GetSequence(),
		Change:  item.ChangeId,
		Body:    item.Body,
	}
}

// ConfigView is the committed configuration as operators see it.
type ConfigView struct {
	Revision uint64     `json:"sequence"` // revision of the configuration
	Items    []ItemView `json:"items"`    // items that are not deleted
}

// handleConfig responds with the committed configuration. It responds with errs.NoQuorum until this registry has caught
// up.
func (o *operatorServer) handleConfig(_ context.Context, call *fasthttp.RequestCtx) {
	s := o.state
	s.lock.Lock()
	view := ConfigView{Revision: s.fleetState.committedRevision, Items: []ItemView{}}
	items := s.configCache.state.Items()
	caughtUp := s.fleetState.caughtUp
	s.lock.Unlock()
	// Before it has caught up, the registry might show an older configuration than operators have already seen.
	if !caughtUp {
		daemon.WriteError(call, errs.New(errs.NoQuorum,
			"registry has not yet received the configuration that was committed when it started"), "", nil)
		return
	}
	for _, item := range items {
		if !item.Deleted && item.Kind != config.KindTombstonePurge {
			view.Items = append(view.Items, newItemView(item))
		}
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, view)
}

// VerdictCount is the number of calls with one verdict, route and outcome, over all proxies.
type VerdictCount struct {
	Flag      string  `json:"flag"`           // key of the evaluated flag
	Service   string  `json:"service"`        // called service
	Variation string  `json:"variation"`      // variation of the flag
	Reason    string  `json:"reason"`         // reason for the variation
	Rule      string  `json:"rule,omitempty"` // id of the flag's rule that matched; empty if none did
	Route     string  `json:"route"`          // name of the route
	Outcome   string  `json:"outcome"`        // outcome of the calls
	Calls     uint64  `json:"calls"`          // number of calls
	Failures  uint64  `json:"failures"`       // number of Calls that failed
	MeanMS    float64 `json:"meanMs"`         // mean duration of a call in milliseconds
}

// handleVerdicts responds with the call counts of all registries that reply, summed over all proxies.
func (o *operatorServer) handleVerdicts(ctx context.Context, call *fasthttp.RequestCtx) {
	sums := map[VerdictCount]*schema.VerdictCount{}
	for _, counts := range o.peers.collectCounts(ctx) {
		for _, count := range counts.Counts {
			key := VerdictCount{
				Flag:      count.Flag,
				Service:   count.Service,
				Variation: count.Variation,
				Reason:    count.Reason,
				Rule:      count.Rule,
				Route:     count.Route,
				Outcome:   count.Outcome,
			}
			if sums[key] == nil {
				sums[key] = &schema.VerdictCount{}
			}
			sums[key].Calls += count.Calls
			sums[key].Failures += count.Failures
			sums[key].TotalNanos += count.TotalNanos
		}
	}
	views := []VerdictCount{}
	for view, sum := range sums {
		view.Calls = sum.Calls
		view.Failures = sum.Failures
		if sum.Calls > 0 {
			view.MeanMS = float64(sum.TotalNanos) / float64(sum.Calls) / float64(time.Millisecond)
		}
		views = append(views, view)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].sortKey() < views[j].sortKey() })
	daemon.WriteJSON(call, fasthttp.StatusOK, views)
}

// sortKey returns the key by which handleVerdicts sorts its response. Lines that differ only in flag or rule have the
// same key, so their order is not defined.
func (v *VerdictCount) sortKey() string {
	return v.Service + "\x00" + v.Variation + "\x00" + v.Reason + "\x00" + v.Route + "\x00" + v.Outcome
}

// WorkerView is a worker as operators see it.
type WorkerView struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Version  string  `json:"version"`
	Zone     string  `json:"area"`
	Proxy    string  `json:"proxy"` // name of the proxy with which the worker is registered
	Load     float64 `json:"load"`  // additional load that the worker last reported
	State    string  `json:"state"` // workerServing or workerDraining
}

// Values of WorkerView.State.
const (
	workerServing  = "serving"
	workerDraining = "leaving"
)

// handleWorkers responds with the workers in this registry's service directory, sorted by proxy.
func (o *operatorServer) handleWorkers(_ context.Context, call *fasthttp.RequestCtx) {
	views := []WorkerView{}
	for _, source := range o.state.sources() {
		for _, worker := range source.Workers {
			state := workerServing
			if worker.Draining {
				state = workerDraining
			}
			views = append(views, WorkerView{
				Instance: worker.Instance,
				Service:  worker.Service,
				Version:  worker.Version,
				Zone:     worker.Zone,
				Proxy:    source.Name,
				Load:     worker.Load,
				State:    state,
			})
		}
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, views)
}

// CoreStatus is the status of the core as operators see it.
type CoreStatus struct {
	Store       *statuspage.Replica      `json:"store,omitempty"` // this member's store; absent if it did not reply
	Registries  []*statuspage.Registry   `json:"registries"`      // registries that replied, sorted by member
	CoreMembers []*statuspage.CoreMember `json:"cores"`           // members whose registry address is known
	LiveProxies int                      `json:"members"`         // number of live proxies known to this registry
}

// handleStatus responds with the status of the core. It queries the other registries, and then the store within what is
// left of the query timeout. It leaves out registries and a store that do not reply in time.
func (o *operatorServer) handleStatus(ctx context.Context, call *fasthttp.RequestCtx) {
	timeoutCtx, cancel := context.WithTimeout(ctx, o.queryTimeout())
	defer cancel()
	statuses := []*schema.RegistryStatus{o.status.current()}
	statuses = append(statuses, callOtherRegistries(timeoutCtx, o.peers, o.queryTimeout(),
		func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.RegistryStatus, error) {
			return peer.Look(ctx, &schema.Empty{})
		})...)
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Member < statuses[j].Member })
	status := &CoreStatus{Registries: statuspage.RegistriesOf(statuses)}
	if replica, err := o.store.Look(timeoutCtx, &schema.Empty{}); err == nil {
		status.Store = statuspage.ReplicaOf(replica)
	}
	o.state.lock.Lock()
	status.CoreMembers = statuspage.CoreMembersOf(o.state.membership.reachable())
	status.LiveProxies = o.state.fleetState.LiveProxies(o.state.now())
	o.state.lock.Unlock()
	daemon.WriteJSON(call, fasthttp.StatusOK, status)
}

// ReleaseView is a release plan and its progress as operators see them. Percentages are of the service's calls, from
// 0 to 100.
type ReleaseView struct {
	Name               string  `json:"name"`
	Service            string  `json:"service"`
	Version            string  `json:"version"`  // version that the plan releases
	Target             float64 `json:"target"`   // percentage at which the plan is done
	Duration           string  `json:"over"`     // duration of the plan as the operator wrote it
	Control            string  `json:"pace"`     // operator's control of the plan: go, hold or back
	State              string  `json:"state"`    // state of the plan; empty before its first step
	Reason             string  `json:"reason"`   // reason for the state
	Percentage         float64 `json:"share"`    // percentage currently assigned to the version
	MeasuredPercentage float64 `json:"measured"` // percentage of the service's counted calls that the version got
	ControllerTerm     uint64  `json:"duty"`     // term of the rollout controller that wrote the last step
	Controller         string  `json:"holder"`   // member id of that controller
}

// handleReleases responds with all release plans and their progress, sorted by name.
func (o *operatorServer) handleReleases(ctx context.Context, call *fasthttp.RequestCtx) {
	snapshot, _ := o.state.compiledConfig()
	counts := o.peers.collectCounts(ctx)
	views := []ReleaseView{}
	for name, planned := range snapshot.Releases {
		fallback := snapshot.FallbackVersion(planned.Service)
		versionCounts := release.GatherVersionCounts(counts, planned.Service, planned.Version, planned.Revision, fallback)
		view := ReleaseView{
			Name:               name,
			Service:            planned.Service,
			Version:            planned.Version,
			Target:             planned.Target,
			Duration:           planned.DurationText,
			Control:            planned.Control,
			MeasuredPercentage: versionCounts.NewPercent(),
		}
		if progress := snapshot.Progress[name]; progress != nil {
			view.State = progress.State
			view.Reason = progress.Reason
			view.Percentage = progress.Percentage
			view.ControllerTerm = progress.ControllerTerm
			view.Controller = progress.Controller
		}
		views = append(views, view)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	daemon.WriteJSON(call, fasthttp.StatusOK, views)
}
