package plan

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
)

// decision is what the decisions on one request's service and version are made from. It is only read.
type decision struct {
	view    *View
	subject flag.EvaluationContext // of the request
	caller  string
	local   LocalState
	now     time.Duration
}

// decideSplit decides the service of a route that is split.
func (d *decision) decideSplit(route *config.Route) Verdict {
	decider := d.view.Config.ServiceDecider(route)
	result := d.view.Config.Flags.Decide(decider.Flag, d.subject)
	verdict := Verdict{
		Flag:           decider.Key,
		Version:        result.Value,
		Reason:         result.Reason,
		Error:          result.Error,
		ConfigRevision: d.view.Config.Revision,
	}
	if result.Index < 0 {
		// The fallback of a split is its first service with a weight.
		verdict.Reason = flag.ReasonError
		if services := route.Services(); len(services) > 0 {
			verdict.Version = services[0]
		}
	}
	return verdict
}

// pickOtherService picks a service with workers, by weight, for a split whose decided service has none. It returns an
// empty string if no other service has any. A key keeps its service as long as the same services have workers. The
// bucket differs from the split's, because there all keys of the decided service fall into one range.
func (d *decision) pickOtherService(route *config.Route, decided string) string {
	available, totalWeight := d.availableServices(route)
	bucket := flag.Bucket(route.SplitFlagKey(), route.Name+"."+decided, nil, d.subject, flag.DefaultKind, "")
	cumulative := 0.0
	for _, target := range available {
		cumulative += target.Weight
		if bucket < cumulative/totalWeight {
			return target.Service
		}
	}
	if len(available) > 0 {
		return available[len(available)-1].Service
	}
	return ""
}

// availableServices returns the services of a split that may serve the caller and have workers, and their total weight.
func (d *decision) availableServices(route *config.Route) (available []config.WeightedService, totalWeight float64) {
	for _, target := range route.Split {
		service := d.view.Config.Services[target.Service]
		if target.Weight <= 0 || service == nil || !service.AllowsCaller(d.caller) {
			continue
		}
		if _, pool := d.decideVersion(target.Service); len(pool) > 0 {
			available = append(available, target)
			totalWeight += target.Weight
		}
	}
	return available, totalWeight
}

// decideVersion returns the verdict on the version of a service, and the pool that is to serve. The verdict is the
// flag's unless one of two exceptions applies, and then names what the flag said in Evaluated.
func (d *decision) decideVersion(serviceName string) (Verdict, []Endpoint) {
	service := d.view.Config.Services[serviceName]
	verdict := d.evaluateVersion(service, serviceName)
	if verdict.Version == "" {
		return verdict, nil
	}
	// The rollback guard: a version other than the fallback gets no call while it is stopped or blocked.
	if verdict.Version != service.Fallback && d.isBlocked(serviceName, verdict.Version) {
		verdict.Evaluated = verdict.Version
		verdict.Version, verdict.Reason = service.Fallback, ReasonVersionBlocked
	}
	pool := d.view.Directory[serviceName][verdict.Version]
	// The fallback version serves in place of an empty pool, which would refuse valid callers. A pool without any
	// reachable worker counts as empty while the fallback's pool has one.
	fallbackPool := d.view.Directory[serviceName][service.Fallback]
	empty := len(pool) == 0 || (!d.anyReachable(pool) && d.anyReachable(fallbackPool))
	if empty && verdict.Version != service.Fallback {
		if verdict.Evaluated == "" {
			verdict.Evaluated = verdict.Version
		}
		verdict.Version, verdict.Reason = service.Fallback, ReasonPoolEmpty
		pool = fallbackPool
	}
	return verdict, pool
}

// isBlocked reports whether the configuration has stopped a version, or this process must not use it now.
func (d *decision) isBlocked(service, version string) bool {
	return d.view.Config.ActiveStop(service, version) != nil || d.local.VersionBlocked(service, version, d.now)
}

// evaluateVersion evaluates the version flag of a service.
func (d *decision) evaluateVersion(service *config.Service, serviceName string) Verdict {
	decider := d.view.Config.VersionDecider(serviceName)
	result := d.view.Config.Flags.Decide(decider.Flag, d.subject)
	verdict := Verdict{
		Flag:           decider.Key,
		Version:        result.Value,
		Reason:         result.Reason,
		RuleID:         result.RuleID,
		Error:          result.Error,
		ConfigRevision: d.view.Config.Revision,
	}
	// The fallback takes the place of an error. A version that the configuration does not list is never called.
	if result.Index < 0 || !service.AllowsVersion(result.Value) {
		verdict.Version, verdict.Reason = service.Fallback, flag.ReasonError
	}
	if service.Fallback == "" {
		verdict.Version, verdict.Reason, verdict.Error = "", ReasonNoVersion, ""
	}
	return verdict
}

// anyReachable reports whether the proxy of any worker of a pool is reachable.
func (d *decision) anyReachable(pool []Endpoint) bool {
	for i := range pool {
		if !d.local.Stats(&pool[i], d.now).Unreachable {
			return true
		}
	}
	return false
}
