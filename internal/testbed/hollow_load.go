package testbed

import (
	"math/rand/v2"
	"net/http"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// heartbeat sends one heartbeat for each worker of a member. It returns the first error.
func (f *hollowFleet) heartbeat(m *hollowMember) error {
	for _, worker := range m.workers {
		description := worker.WorkerDescription
		description.Load = rand.Float64()
		if err := m.current().Heartbeat(description); err != nil {
			return err
		}
	}
	return nil
}

// heartbeatSteps is the number of steps into which a heartbeat interval is divided. Each step handles another part of
// the members, so that the heartbeats are spread over the interval.
const heartbeatSteps = 50

// heartbeatLoop simulates the workers and callers of all members until stop closes: once per heartbeat interval, each
// member gets the heartbeats of its workers, and calls are added to its counts.
func (f *hollowFleet) heartbeatLoop(stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(f.opts.Beat) / heartbeatSteps)
	defer ticker.Stop()
	for step := 0; ; step++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i := step % heartbeatSteps; i < len(f.members); i += heartbeatSteps {
			m := f.members[i]
			_ = f.heartbeat(m) // the next heartbeat makes up for a lost one
			current := m.current()
			f.simulateWork(m)
			for _, called := range m.reach {
				for _, version := range called.versions {
					current.RecordResult(called.answeredBy(version, current.ConfigRevision()), time.Millisecond)
				}
			}
		}
	}
}

// calledRoute is a route that the callers of a member call.
type calledRoute struct {
	route    string   // name of the route
	service  string   // service that the route leads to
	flag     string   // key of the service's release flag
	versions []string // versions that answer the calls
}

// routeCalledBy returns the j-th route that the callers of a member call. Different members use different routes as far
// as there are enough.
func routeCalledBy(opts *schema.HollowOptions, member, j int) calledRoute {
	route := (member*int(opts.Reach) + j) % int(opts.Routes)
	service := serviceName(route % int(opts.Services))
	called := calledRoute{
		route:    routeName(route),
		service:  service,
		flag:     config.VersionFlagKey(service),
		versions: []string{versionOld},
	}
	if route%int(opts.Services) < int(opts.Releases) {
		called.versions = append(called.versions, versionNew)
	}
	return called
}

// answeredBy returns the result of a call of the route that a worker of the given version answered, under the given
// configuration revision.
func (c calledRoute) answeredBy(version string, revision uint64) *dispatch.CallResult {
	return &dispatch.CallResult{
		Plan: &plan.Plan{
			Route:   &config.Route{Name: c.route},
			Service: c.service,
			Verdict: plan.Verdict{
				Flag:           c.flag,
				Version:        version,
				Reason:         flag.ReasonFallthrough,
				ConfigRevision: revision,
			},
		},
		Response: &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: http.StatusOK},
	}
}

// Calls that a hollow worker answers.
const (
	callsPerHeartbeat = 4                     // number of calls of each route per heartbeat
	minWork           = 20 * time.Millisecond // shortest duration of a call
	workSpread        = 8                     // difference between the longest and the shortest duration, in units of minWork
)

// simulateWork counts calls at a member as if its workers had answered them. Each worker answers calls of up to Reach
// routes of its service.
func (f *hollowFleet) simulateWork(m *hollowMember) {
	for _, worker := range m.workers {
		for j := range int(f.opts.Reach) {
			route := worker.service + j*int(f.opts.Services)
			if route >= int(f.opts.Routes) {
				break
			}
			for range callsPerHeartbeat {
				work := time.Duration(float64(minWork) * (1 + workSpread*rand.Float64()))
				m.current().RecordWork(worker.Service, worker.Version, routeName(route), work)
			}
		}
	}
}
