package plan

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
)

// decision holds the inputs of the decisions on one request's service and version. Its methods do not modify it.
type decision struct {
	view    *View
	subject flag.EvaluationContext // flag evaluation context of the request
	caller  string                 // authenticated calling service or client kind
	local   LocalState
	now     time.Duration // time of the decision, on the clock of this process
}

// decideSplit returns the verdict on the service of a split route.
func (d *decision) decideSplit(route *config.Route) Verdict {
	ref := d.view.Config.ServiceFlag(route)
	result := d.view.Config.Flags.EvaluateFlag(ref.Flag, d.subject)
	verdict := Verdict{
		Flag:           ref.Key,
		Version:        result.Value,
		Reason:         result.Reason,
		Error:          result.Error,
		ConfigRevision: d.view.Config.Revision,
	}
	if result.Index < 0 {
		// The fallback of a split is its first service with a positive weight.
		verdict.Reason = flag.ReasonError
		if services := route.Services(); len(services) > 0 {
			verdict.Version = services[0]
		}
	}
	return verdict
}

// pickOtherService returns a service with workers, selected by weight, for a split whose decided service has none. It
// returns an empty string if no other service has workers. A key keeps its service as long as the same services have
// workers. The key is hashed to a bucket again, because in the split's own buckets all keys of the decided service fall
// into one range.
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

// availableServices returns the services of a split that have a positive weight, allow the caller and have workers, and
// the sum of their weights.
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

// decideVersion returns the verdict on the version of a service, and the pool of workers that serves it. The fallback
// version replaces the flag's result if that version is blocked, or if its pool is empty. Evaluated is then the flag's
// result.
func (d *decision) decideVersion(serviceName string) (Verdict, []Endpoint) {
	service := d.view.Config.Services[serviceName]
	verdict := d.evaluateVersion(service, serviceName)
	if verdict.Version == "" {
		return verdict, nil
	}
	// A version other than the fallback gets no calls while the configuration stops it or this process blocks it.
	if verdict.Version != service.Fallback && d.isBlocked(serviceName, verdict.Version) {
		verdict.Evaluated = verdict.Version
		verdict.Version, verdict.Reason = service.Fallback, ReasonVersionBlocked
	}
	pool := d.view.Directory[serviceName][verdict.Version]
	// An empty pool would refuse valid calls, so the fallback version serves them. A pool without any reachable worker
	// counts as empty while the fallback's pool has one.
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

// isBlocked reports whether the configuration has stopped a version or this process must not use it now.
func (d *decision) isBlocked(service, version string) bool {
	return d.view.Config.ActiveStop(service, version) != nil || d.local.VersionBlocked(service, version, d.now)
}

// evaluateVersion returns the verdict of a service's version flag.
func (d *decision) evaluateVersion(service *config.Service, serviceName string) Verdict {
	ref := d.view.Config.VersionFlag(serviceName)
	result := d.view.Config.Flags.EvaluateFlag(ref.Flag, d.subject)
	verdict := Verdict{
		Flag:           ref.Key,
		Version:        result.Value,
		Reason:         result.Reason,
		RuleID:         result.RuleID,
		Error:          result.Error,
		ConfigRevision: d.view.Config.Revision,
	}
	// The fallback is used if the evaluation failed, or returned a version that the configuration does not list.
	if result.Index < 0 || !service.AllowsVersion(result.Value) {
		verdict.Version, verdict.Reason = service.Fallback, flag.ReasonError
	}
	if service.Fallback == "" {
		verdict.Version, verdict.Reason, verdict.Error = "", ReasonNoVersion, ""
	}
	return verdict
}

// anyReachable reports whether at least one worker of a pool is reachable.
func (d *decision) anyReachable(pool []Endpoint) bool {
	for i := range pool {
		if !d.local.Stats(&pool[i], d.now).Unreachable {
			return true
		}
	}
	return false
}
