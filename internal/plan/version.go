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
	verdict := Verdict{Flag: decider.Key, Version: result.Value, Reason: result.Reason, Error: result.Error, ConfigRevision: view.Config.Revision}
	if result.Index < 0 {
		// The fallback of a split is the first that has any weight.
		verdict.Reason = flag.ReasonError
		if services := route.Services(); len(services) > 0 {
			verdict.Version = services[0]
		}
	}
	return verdict
}

// pickOtherService picks, for a split whose service has nobody, one that has, by weight. A key stays with
// its service for as long as that is so; its bucket is another than the split's, for all keys of
// the service that has nobody are alike in that one.
func pickOtherService(view *View, route *config.Route, decided, caller string, subject flag.EvaluationContext, local LocalState, now time.Duration) string {
	var available []config.WeightedService
	totalWeight := 0.0
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
	bucket, cumulative := flag.Bucket(route.SplitFlagKey(), route.Name+"."+decided, nil, subject, flag.DefaultKind, ""), 0.0
	for _, target := range available {
		if cumulative += target.Weight; bucket < cumulative/totalWeight {
			return target.Service
		}
	}
	if len(available) > 0 {
		return available[len(available)-1].Service
	}
	return ""
}

// decideVersion gives the verdict on the version of a service, and the pool that is to serve.
func decideVersion(view *View, serviceName string, subject flag.EvaluationContext, local LocalState, now time.Duration) (Verdict, []Endpoint) {
	service := view.Config.Services[serviceName]
	verdict := evaluateVersion(view, service, serviceName, subject)
	if verdict.Version == "" {
		return verdict, nil
	}
	// The brake: a version other than the fallback gets no call that it may not have just now.
	if verdict.Version != service.Fallback && (view.Config.ActiveStop(serviceName, verdict.Version) != nil || local.VersionBlocked(serviceName, verdict.Version, now)) {
		verdict.Evaluated = verdict.Version
		verdict.Version, verdict.Reason = service.Fallback, ReasonVersionBlocked
	}
	pool := view.Directory[serviceName][verdict.Version]
	// An empty pool would turn proper callers away; the fallback version is allowed to serve
	// them. A pool of which nobody can be reached is as good as empty, while the other's can.
	fallbackPool := view.Directory[serviceName][service.Fallback]
	empty := len(pool) == 0 || (!anyReachable(pool, local, now) && anyReachable(fallbackPool, local, now))
	if empty && verdict.Version != service.Fallback {
		// What an exception changed before was not what the flag said.
		if verdict.Evaluated == "" {
			verdict.Evaluated = verdict.Version
		}
		verdict.Version, verdict.Reason = service.Fallback, ReasonPoolEmpty
		pool = fallbackPool
	}
	return verdict, pool
}

// evaluateVersion asks the flag for the version of a service.
func evaluateVersion(view *View, service *config.Service, serviceName string, subject flag.EvaluationContext) Verdict {
	decider := view.Config.VersionDecider(serviceName)
	result := view.Config.Flags.Decide(decider.Flag, subject)
	verdict := Verdict{Flag: decider.Key, Version: result.Value, Reason: result.Reason, RuleID: result.RuleID, Error: result.Error, ConfigRevision: view.Config.Revision}
	// The fallback stands in for an error. A version the setup does not list is never called.
	if result.Index < 0 || !service.AllowsVersion(result.Value) {
		verdict.Version, verdict.Reason = service.Fallback, flag.ReasonError
	}
	if service.Fallback == "" {
		verdict.Version, verdict.Reason, verdict.Error = "", ReasonNoVersion, ""
	}
	return verdict
}

// anyReachable tells whether any worker of a pool stands at a proxy that answers.
func anyReachable(pool []Endpoint, local LocalState, now time.Duration) bool {
	for i := range pool {
		if !local.Stats(&pool[i], now).Unreachable {
			return true
		}
	}
	return false
}
