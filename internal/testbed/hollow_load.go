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

// heartbeat sends a heartbeat of each of a member's workers.
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

// heartbeatSteps is into how many steps one heartbeat interval is divided, each for a part of the members.
const heartbeatSteps = 50

// heartbeatLoop sends heartbeats and counts calls, as running workers and callers would, until stop closes.
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
			_ = f.heartbeat(m) // the next makes up for a lost one
			proxyNow := m.current()
			f.simulateWork(m)
			for _, called := range m.reach {
				for _, version := range called.versions {
					proxyNow.Count(called.answeredBy(version, proxyNow.ConfigRevision()), time.Millisecond)
				}
			}
		}
	}
}

// calledRoute is a route that a member's calls use.
type calledRoute struct {
	route, service, flag string
	versions             []string
}

// routeCalledBy is the j-th route that a member's calls use. Members are spread over all routes.
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

// answeredBy is the result of a call of the route that a version answered.
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

// The calls of a hollow worker: how many with each heartbeat and route, and how long they take.
const (
	callsPerHeartbeat = 4
	minWork           = 20 * time.Millisecond
	workSpread        = 8 // the longest work is this much longer, in units of minWork
)

// simulateWork lets a member's workers answer calls of their services' routes.
func (f *hollowFleet) simulateWork(m *hollowMember) {
	for _, worker := range m.workers {
		for j := range int(f.opts.Reach) {
			route := worker.service + j*int(f.opts.Services)
			if route >= int(f.opts.Routes) {
				break
			}
			for range callsPerHeartbeat {
				work := time.Duration(float64(minWork) * (1 + workSpread*rand.Float64()))
				m.current().Work(worker.Service, worker.Version, routeName(route), work)
			}
		}
	}
}
