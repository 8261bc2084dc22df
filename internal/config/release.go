package config

import (
	"time"

	"meadowhinge/schema"
)

// Release is a release plan: the percentage of a service's calls that a version should get, and how fast.
// Operators write it; the rollout controller carries it out.
type Release struct {
	Name         string  `json:"-"` // name of the plan's item
	Service      string  `json:"service"`
	Version      string  `json:"version"`      // the version to roll out
	Target       float64 `json:"target"`       // percentage of the service's calls that Version should reach, 0 to 100
	DurationText string  `json:"over"`         // Duration as the operator wrote it, such as 10m
	Control      string  `json:"pace"`         // go carries out the plan, hold pauses it, back rolls it back; empty means go
	Strategy     string  `json:"by,omitempty"` // StrategyRamp or StrategyDeadline; empty means StrategyRamp

	Duration time.Duration `json:"-"` // time in which Target should be reached, parsed from DurationText
	Revision uint64        `json:"-"` // configuration revision in which the plan was written
}

// The rollout strategies of a release plan.
const (
	// StrategyRamp raises the percentage steadily over the plan's duration, once the version has received
	// enough calls to judge it.
	StrategyRamp = "ramp"
	// StrategyDeadline keeps the version in canary for most of the plan's duration, and then raises the percentage
	// to the target before the duration is over.
	StrategyDeadline = "term"
)

// Progress is the state of a release plan that is being carried out. The rollout controller writes it with each
// step, so that the next controller continues where this one stopped.
type Progress struct {
	ControllerTerm  uint64  `json:"duty"`            // term of the rollout controller that wrote it; never decreases
	Controller      string  `json:"holder"`          // id of the core member that was the controller
	PlanID          string  `json:"set"`             // service and version of the plan, joined by a space
	State           string  `json:"state"`           // state of the plan: trial, ramp, hold, settle, done or back; see package release
	Reason          string  `json:"reason"`          // reason for which the plan is in State
	Percentage      float64 `json:"share"`           // percentage of calls that the new version should get at present, 0 to 100
	Weight          int     `json:"weight"`          // weight of the new version in the version flag, 0 to flag.TotalWeight
	Elapsed         int64   `json:"elapsed"`         // nanoseconds of raising Percentage; with StrategyDeadline, since the plan was written
	PreviousVersion string  `json:"from,omitempty"`  // the version that the new one replaces
	StateSince      int64   `json:"since,omitempty"` // value of Elapsed when the current state or percentage began; only with StrategyDeadline
}

// progressStateRamping is the Progress.State of a plan while the percentage of its version is being raised. Package release
// defines all states. This one is repeated here, since release imports this package.
const progressStateRamping = "ramp"

// ControllerTermOf returns the term of the rollout controller that wrote a progress item, 0 if the body cannot be
// decoded.
func ControllerTermOf(item *schema.Item) uint64 {
	progress := &Progress{}
	if decodeStrict(item.Body, progress) != nil {
		return 0
	}
	return progress.ControllerTerm
}

// VersionStop keeps every call away from a version until the stop is lifted. The rollback guard writes it where
// there is no release plan to roll back; an operator may write and lift one too.
type VersionStop struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Reason  string `json:"reason"` // reason for the stop, shown to operators
	Lifted  bool   `json:"lifted"` // true if the stop has no effect any more
}

// StopName returns the name that the item of a version's stop must have.
func StopName(service, version string) string { return service + "." + version }
