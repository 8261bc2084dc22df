// Package setup is the configuration that operators state: items as stored, checked
// against each other, and compiled for the planner.
package config

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
	"meadowhinge/schema"
)

// Class says whether a request may be run again.
type Class string

// The two classes of route.
const (
	ClassNonIdempotent Class = "once"
	ClassIdempotent    Class = "repeatable"
)

// Service lists what may be called of a service, and by whom. Versions and fallback may be left
// out: they are then what stands in Standing.
type Service struct {
	Versions []string `json:"versions,omitempty"`
	Fallback string   `json:"fallback,omitempty"`
	Callers  []string `json:"callers,omitempty"` // left out: anyone

	allowedVersions map[string]bool
	allowedCallers  map[string]bool
}

// AllowsVersion tells whether a version may be called at all.
func (s *Service) AllowsVersion(version string) bool { return s.allowedVersions[version] }

// AllowsCaller tells whether a caller may call the service.
func (s *Service) AllowsCaller(caller string) bool {
	return s.Callers == nil || s.allowedCallers[caller]
}

// DiscoveredVersions is the versions of a service of which the operators named none: what its workers told
// and what release plans made of that. The release duty writes it, under the service's name.
type DiscoveredVersions struct {
	Versions []string `json:"versions"`
	Fallback string   `json:"fallback"`
}

// WeightedService is the part of a route's requests that goes to a service, by weight against the others.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route sends requests of a host, with a prefix and method, to a service or to several.
type Route struct {
	Name              string            `json:"-"`
	HostText          *string           `json:"host,omitempty"` // left out: any host
	Service           string            `json:"service,omitempty"`
	Split             []WeightedService `json:"split,omitempty"` // in place of a service
	Prefix            string            `json:"prefix"`
	Methods           []string          `json:"methods,omitempty"`
	Class             Class             `json:"class,omitempty"`
	DeadlineText      string            `json:"horizon,omitempty"` // left out: as long as the caller and the proxy allow
	LatencyTargetText string            `json:"aim,omitempty"`
	MaxAttempts       int               `json:"tries,omitempty"` // most workers that one request may be handed to, 0 for no bound
	Priority          int               `json:"rank,omitempty"`  // 0 is served first where not all can be
	KeyHeader         string            `json:"key,omitempty"`   // left out: the request's own identity is the key
	Attributes        map[string]string `json:"attributes,omitempty"`
	PolicyName        string            `json:"policy,omitempty"`

	Host          string          `json:"-"` // in lower case, empty for any
	Deadline      time.Duration   `json:"-"` // 0 for none of its own
	LatencyTarget time.Duration   `json:"-"` // the time within which an answer is worth most, 0 for none
	Policy        *policy.Program `json:"-"` // must hold for a call to be planned; nil for none

	splitFlag       *flag.Flag
	operatorVersion uint64
}

// SplitFlagKey names the flag that decides the service of a route that is split.
func (r *Route) SplitFlagKey() string { return RouteFlagKey(r.Name) }

// Services lists the services that a route may send to, those without weight left out.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var services []string
	for _, share := range r.Split {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	return services
}

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes    int    `json:"headerMost,omitempty"` // bytes of a request's head
	MaxBodyBytes      int64  `json:"bodyMost,omitempty"`   // bytes of a request's body
	HeaderTimeoutText string `json:"headerWait,omitempty"`
	IdleTimeoutText   string `json:"quiet,omitempty"`

	HeaderTimeout time.Duration `json:"-"` // for a whole head, from its first byte
	IdleTimeout   time.Duration `json:"-"` // of a connection without a request
}

// DefaultLimits hold where no limits are stated.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

// Policy is an expression over a call's context that routes may name.
type Policy struct {
	Expression string `json:"expression"`
}

// ClassFor gives the retry class of a method on the route.
func (r *Route) ClassFor(method string) Class {
	if r.Class != "" {
		return r.Class
	}
	// Only methods that by their meaning change nothing are safe to repeat unasked.
	if method == "GET" || method == "HEAD" {
		return ClassIdempotent
	}
	return ClassNonIdempotent
}

func (r *Route) matchesMethod(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, allowed := range r.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// Release is a release plan: the share of a service's calls that a version should get.
type Release struct {
	Name         string  `json:"-"`
	Service      string  `json:"service"`
	Version      string  `json:"version"`
	Target       float64 `json:"target"`
	DurationText string  `json:"over"`
	Control      string  `json:"pace"`
	Strategy     string  `json:"by,omitempty"` // in what way the share rises: StrategyRamp if left out

	Duration time.Duration `json:"-"`
	Revision uint64        `json:"-"` // in which it was stated
}

// The ways in which a plan's share rises.
const (
	StrategyRamp     = "ramp" // over the plan's time, from when the version is known
	StrategyDeadline = "term" // it stays on trial for most of the plan's time, and moves before that is over
)

// Progress is how far a release plan has come; the release duty writes it with each step, so
// that whoever has the duty next goes on from there.
type Progress struct {
	ControllerTerm  uint64  `json:"duty"`            // the epoch of the release duty that wrote it; it never goes down
	Controller      string  `json:"holder"`          // the seat that had the duty
	PlanID          string  `json:"set"`             // the plan this is the progress of, as it was stated
	State           string  `json:"state"`           // trial, ramp, hold, done, back
	Reason          string  `json:"reason"`          // why it is so
	Percentage      float64 `json:"share"`           // set point now, in percent
	Weight          int     `json:"weight"`          // of the new version, as written to the flag
	Elapsed         int64   `json:"elapsed"`         // of the ramp, or by the term since the plan was stated, in nanoseconds
	PreviousVersion string  `json:"from,omitempty"`  // the version that calls move away from
	StateSince      int64   `json:"since,omitempty"` // by the term: Elapsed when this state or share began
}

// VersionStop keeps every call from a version, until it is lifted. The brake states it where no plan
// can be turned back; an operator may state and lift it too.
type VersionStop struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Reason  string `json:"reason"`
	Lifted  bool   `json:"lifted"`
}

// Snapshot is one stable configuration, compiled; it never changes once made.
type Snapshot struct {
	Revision           uint64
	Services           map[string]*Service
	Routes             []*Route // by host, prefix and name
	Flags              *flag.Set
	Releases           map[string]*Release
	Progress           map[string]*Progress           // by release
	DiscoveredVersions map[string]*DiscoveredVersions // by service
	Stops              map[string]*VersionStop        // by StopName
	GuardedVersions    map[string][]string            // by service: the versions besides the fallback that its flag may give
	Limits             Limits

	versionRevisions map[[2]string]uint64 // by service and version
	policies         map[string]*Policy
	programs         map[string]*policy.Program // by expression and attributes, taken over from setup to setup
	decodedItems     map[string]*decodedItem    // by Key, taken over where the item stayed
	versionDeciders  map[string]Decider         // by service
	routeMatcher     routeMatcher
	decodeCount      int // bodies decoded for this setup
}

// GuardedRevision tells whether the brake guards a version of a service, and under what: the sequence
// of the plan or stop that was stated of it last, 0 for none. What was learned of a version
// under another statement does not count under this one.
func (s *Snapshot) GuardedRevision(service, version string) (revision uint64, guarded bool) {
	if !slices.Contains(s.GuardedVersions[service], version) {
		return 0, false
	}
	return s.versionRevisions[[2]string{service, version}], true
}

// VersionRevision is the sequence of what was stated of a version last, guarded or not, 0 for nothing.
func (s *Snapshot) VersionRevision(service, version string) uint64 {
	return s.versionRevisions[[2]string{service, version}]
}

// ActiveStop gives the stop that stands against a version, if one does.
func (s *Snapshot) ActiveStop(service, version string) *VersionStop {
	if len(s.Stops) == 0 {
		return nil
	}
	if stop := s.Stops[StopName(service, version)]; stop != nil && !stop.Lifted {
		return stop
	}
	return nil
}

// progressStateRamp is the state of a plan whose version is given more calls to show what it does with them.
const progressStateRamp = "ramp"

// RampingByDeadline tells whether a plan that goes by its term gives a version more calls just now, to see how
// it bears them.
func (s *Snapshot) RampingByDeadline(service, version string) bool {
	plan, progress := s.Releases[service], s.Progress[service]
	return plan != nil && progress != nil && plan.Strategy == StrategyDeadline && plan.Service == service && plan.Version == version && progress.State == progressStateRamp
}

// FallbackOf names a service's fallback version.
func (s *Snapshot) FallbackOf(service string) string {
	if stated := s.Services[service]; stated != nil {
		return stated.Fallback
	}
	return ""
}

// StopName is the name of the item that stops a version.
func StopName(service, version string) string { return service + "." + version }

// VersionFlagKey names the flag that decides the version of a service.
func VersionFlagKey(service string) string { return "release." + service }

// RouteFlagKey names the flag that decides the service of a route that is split.
func RouteFlagKey(route string) string { return "route." + route }

// Decider is the flag that decides something, by its name; nil if there is none.
type Decider struct {
	Key  string
	Flag *flag.Flag
}

// VersionDecider is what decides the version of a service.
func (s *Snapshot) VersionDecider(service string) Decider {
	if decider, found := s.versionDeciders[service]; found {
		return decider
	}
	return Decider{Key: VersionFlagKey(service)}
}

// ServiceDecider is what decides the service of a route that is split.
func (s *Snapshot) ServiceDecider(route *Route) Decider {
	if route.splitFlag == nil {
		return Decider{Key: route.SplitFlagKey()}
	}
	return Decider{route.splitFlag.Key, route.splitFlag}
}

// Key joins kind and name.
func Key(kind, name string) string { return schema.Key(kind, name) }

// State is the items by key, tombstones included.
type State map[string]*schema.Item

// KindPurged is the item that says up to which sequence tombstones are gone. It travels like any
// other; only the seat with the admission duty writes it.
const KindPurged = "purged"

type tombstonePurge struct {
	UpTo                  uint64 `json:"to"`
	OperatorVersionedUpTo uint64 `json:"given,omitempty"`
}

// NewPurgeItem makes the item under which tombstones up to a sequence go. Those that bear a version of an
// operator's stay longer, up to a sequence of their own: an older order may still come.
func NewPurgeItem(upTo, operatorVersionedUpTo uint64) *schema.Item {
	return &schema.Item{Kind: KindPurged, Name: "tombstones", Body: []byte(fmt.Sprintf(`{"to":%d,"given":%d}`, upTo, operatorVersionedUpTo))}
}

// PurgedUpTo is up to which sequence tombstones are gone. Who has an older state than that may
// hold what was removed, and no difference would say so: it needs the whole state.
func (s State) PurgedUpTo() uint64 {
	if item := s[Key(KindPurged, "tombstones")]; item != nil {
		return decodePurge(item).UpTo
	}
	return 0
}

// OperatorVersionedPurgedUpTo is the same of the tombstones that bear a version of an operator's.
func (s State) OperatorVersionedPurgedUpTo() uint64 {
	if item := s[Key(KindPurged, "tombstones")]; item != nil {
		return decodePurge(item).OperatorVersionedUpTo
	}
	return 0
}

func decodePurge(item *schema.Item) tombstonePurge {
	decoded := tombstonePurge{}
	if decodeStrict(item.Body, &decoded) != nil {
		return tombstonePurge{}
	}
	return decoded
}

// Tombstones counts the removed items that the state still knows of, but for those that bear a
// version of an operator's; of these it gives the sequences, in order.
func (s State) Tombstones() (count int, operatorVersioned []uint64) {
	for _, item := range s {
		switch {
		case item.Deleted && item.OperatorVersion == 0:
			count++
		case item.Deleted:
			operatorVersioned = append(operatorVersioned, item.Version.GetSequence())
		}
	}
	slices.Sort(operatorVersioned)
	return count, operatorVersioned
}

// ChangesAfter is what a copy lacks that has the state of a sequence: the newer items, or the whole.
func (s State) ChangesAfter(sequence uint64) (items []*schema.Item, complete bool) {
	complete = sequence == 0 || sequence < s.PurgedUpTo()
	for _, item := range s.Items() {
		if complete || item.Version.GetSequence() > sequence {
			items = append(items, item)
		}
	}
	return items, complete
}

// Apply gives the state that a copy has once it took what After gave: merged, or in its place.
func (s State) Apply(items []*schema.Item, complete bool) State {
	if complete {
		return State{}.With(items)
	}
	return s.With(items)
}

// With gives a copy with items merged in: of two copies of an item the newer version stays.
func (s State) With(items []*schema.Item) State {
	merged := make(State, len(s)+len(items))
	for key, item := range s {
		merged[key] = item
	}
	for _, item := range items {
		key := Key(item.Kind, item.Name)
		if existing, found := merged[key]; !found || Newer(item.Version, existing.Version) {
			merged[key] = item
		}
	}
	for _, item := range items {
		if item.Kind == KindPurged {
			purge := decodePurge(item)
			maps.DeleteFunc(merged, func(_ string, candidate *schema.Item) bool {
				sequence := candidate.Version.GetSequence()
				return candidate.Deleted && (sequence <= purge.OperatorVersionedUpTo || candidate.OperatorVersion == 0 && sequence <= purge.UpTo)
			})
		}
	}
	return merged
}

// Newer orders versions by epoch, then sequence.
func Newer(a, b *schema.Version) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetSequence() > b.GetSequence()
}

// Items lists the state in a settled order.
func (s State) Items() []*schema.Item {
	keys := make([]string, 0, len(s))
	for key := range s {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items := make([]*schema.Item, len(keys))
	for i, key := range keys {
		items[i] = s[key]
	}
	return items
}

// ControllerTermOf is the release duty's epoch in a progress item.
func ControllerTermOf(item *schema.Item) uint64 {
	progress := &Progress{}
	if decodeStrict(item.Body, progress) != nil {
		return 0
	}
	return progress.ControllerTerm
}
