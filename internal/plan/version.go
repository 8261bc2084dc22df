package plan

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
)

// decideSplit decides the service of a route that is split.
func decideSplit(view *View, route *config.Route, subject flag.EvaluationContext) Verdict {
	decider := view.Config.ServiceDecider(route)
	result := view.Config.Flags.Decide(decider.Flag, subject)
	verdict := Verdict{
		Flag:           decider.Key,
		Version:        result.Value,
		Reason:         result.Reason,
		Error:          result.Error,
		ConfigRevision: view.Config.Revision,
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
func pickOtherService(view *View, route *config.Route, decided, caller string, subject flag.EvaluationContext, local LocalState, now time.Duration) string {
	available, totalWeight := availableServices(view, route, caller, subject, local, now)
	bucket := flag.Bucket(route.SplitFlagKey(), route.Name+"."+decided, nil, subject, flag.DefaultKind, "")
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
func availableServices(view *View, route *config.Route, caller string, subject flag.EvaluationContext, local LocalState, now time.Duration) (available []config.WeightedService, totalWeight float64) {
	for _, target := range route.Split {
		service := view.Config.Services[target.Service]
		if target.Weight <= 0 || service == nil || !service.AllowsCaller(caller) {
			continue
		}
		if _, pool := decideVersion(view, target.Service, subject, local, now); len(pool) > 0 {
			available = append(available, target)
			totalWeight += target.Weight
		}
	}
	return available, totalWeight
}

// decideVersion returns the verdict on the version of a service, and the pool that is to serve. The verdict is the
// flag's unless one of two exceptions applies, and then names what the flag said in Evaluated.
func decideVersion(view *View, serviceName string, subject flag.EvaluationContext, local LocalState, now time.Duration) (Verdict, []Endpoint) {
	service := view.Config.Services[serviceName]
	verdict := evaluateVersion(view, service, serviceName, subject)
	if verdict.Version == "" {
		return verdict, nil
	}
	// The rollback guard: a version other than the fallback gets no call while it is stopped or blocked.
	if verdict.Version != service.Fallback && isBlocked(view, serviceName, verdict.Version, local, now) {
		verdict.Evaluated = verdict.Version
		verdict.Version, verdict.Reason = service.Fallback, ReasonVersionBlocked
	}
	pool := view.Directory[serviceName][verdict.Version]
	// The fallback version serves in place of an empty pool, which would refuse valid callers. A pool without any
	// reachable worker counts as empty while the fallback's pool has one.
	fallbackPool := view.Directory[serviceName][service.Fallback]
	empty := len(pool) == 0 || (!anyReachable(pool, local, now) && anyReachable(fallbackPool, local, now))
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
func isBlocked(view *View, service, version string, local LocalState, now time.Duration) bool {
	return view.Config.ActiveStop(service, version) != nil || local.VersionBlocked(service, version, now)
}

// evaluateVersion evaluates the version flag of a service.
func evaluateVersion(view *View, service *config.Service, serviceName string, subject flag.EvaluationContext) Verdict {
	decider := view.Config.VersionDecider(serviceName)
	result := view.Config.Flags.Decide(decider.Flag, subject)
	verdict := Verdict{
		Flag:           decider.Key,
		Version:        result.Value,
		Reason:         result.Reason,
		RuleID:         result.RuleID,
		Error:          result.Error,
		ConfigRevision: view.Config.Revision,
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
func anyReachable(pool []Endpoint, local LocalState, now time.Duration) bool {
	for i := range pool {
		if !local.Stats(&pool[i], now).Unreachable {
			return true
		}
	}
	return false
}
