package config

import (
	"time"

	"meadowhinge/schema"
)

// Release is a release plan: the percentage of a service's calls that a version should get, and how fast.
// Operators write it; the rollout controller carries it out.
type Release struct {
	Name         string  `json:"-"`
	Service      string  `json:"service"`
	Version      string  `json:"version"`
	Target       float64 `json:"target"` // percent of the service's calls, 0 to 100
	DurationText string  `json:"over"`
	Control      string  `json:"pace"`
	Strategy     string  `json:"by,omitempty"` // how the percentage rises: StrategyRamp if left out

	Duration time.Duration `json:"-"` // parsed from DurationText
	Revision uint64        `json:"-"` // configuration revision in which the plan was written
}

// The ways in which a plan's percentage rises.
const (
	StrategyRamp     = "ramp" // steadily over the plan's duration, once the version has enough calls to be judged
	StrategyDeadline = "term" // in canary for most of the plan's duration, then moved before the duration is over
)

// Progress is how far a release plan has come. The rollout controller writes it with each step, so that the
// next controller goes on from there.
type Progress struct {
	ControllerTerm  uint64  `json:"duty"`            // term of the controller that wrote it; it never goes down
	Controller      string  `json:"holder"`          // member that was the controller
	PlanID          string  `json:"set"`             // identifies the plan as it was written
	State           string  `json:"state"`           // trial, ramp, hold, settle, done, back: see the states of package release
	Reason          string  `json:"reason"`          // why the plan is in that state
	Percentage      float64 `json:"share"`           // current set point, in percent
	Weight          int     `json:"weight"`          // of the new version, as written to the flag: of flag.TotalWeight
	Elapsed         int64   `json:"elapsed"`         // nanoseconds of the ramp; by deadline, nanoseconds since the plan was written
	PreviousVersion string  `json:"from,omitempty"`  // version that calls move away from
	StateSince      int64   `json:"since,omitempty"` // by deadline: the value of Elapsed when this state or percentage began
}

// progressStateRamp is the Progress.State of a plan whose version is getting more calls. Package release
// names all the states; this one is repeated here, since release imports this package.
const progressStateRamp = "ramp"

// ControllerTermOf is the term of the rollout controller that wrote a progress item, 0 for a body that
// cannot be decoded.
func ControllerTermOf(item *schema.Item) uint64 {
	progress := &Progress{}
	if decodeStrict(item.Body, progress) != nil {
		return 0
	}
	return progress.ControllerTerm
}

// VersionStop keeps every call away from a version until it is lifted. The rollback guard writes it where
// there is no plan to roll back; an operator may write and lift it too.
type VersionStop struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Reason  string `json:"reason"`
	Lifted  bool   `json:"lifted"`
}

// StopName is the name that the item of a version's stop must have.
func StopName(service, version string) string { return service + "." + version }
