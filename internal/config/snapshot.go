package config

import (
	"slices"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// Snapshot is one configuration, compiled. It never changes once made. Its maps and lists are shared with
// readers and with later snapshots, so nobody may write to them.
type Snapshot struct {
	Revision           uint64
	Services           map[string]*Service
	Routes             []*Route // ordered by compareRoutes
	Flags              *flag.Set
	Releases           map[string]*Release
	Progress           map[string]*Progress           // by release
	DiscoveredVersions map[string]*DiscoveredVersions // by service
	Stops              map[string]*VersionStop        // by StopName
	GuardedVersions    map[string][]string            // by service: the versions besides the fallback that its flag may pick
	Limits             Limits

	versionRevisions map[serviceVersion]uint64  // see VersionRevision
	policies         map[string]*Policy         // by name
	programs         map[string]*policy.Program // by expression and attributes; reused by later snapshots
	decodedItems     map[string]*decodedItem    // by Key; reused by later snapshots where the item stayed
	versionDeciders  map[string]Decider         // by service
	routeMatcher     routeMatcher
	decodeCount      int // items decoded for this snapshot, rather than reused
}

// serviceVersion names a version of a service.
type serviceVersion struct{ service, version string }

// newSnapshot makes an empty snapshot that knows which items an earlier one decoded.
func newSnapshot(revision uint64, decodedItems map[string]*decodedItem) *Snapshot {
	return &Snapshot{
		Revision:           revision,
		Services:           map[string]*Service{},
		Flags:              &flag.Set{Flags: map[string]*flag.Flag{}, Segments: map[string]*flag.Segment{}},
		Releases:           map[string]*Release{},
		Progress:           map[string]*Progress{},
		DiscoveredVersions: map[string]*DiscoveredVersions{},
		Stops:              map[string]*VersionStop{},
		GuardedVersions:    map[string][]string{},
		Limits:             DefaultLimits,

		versionRevisions: map[serviceVersion]uint64{},
		policies:         map[string]*Policy{},
		programs:         map[string]*policy.Program{},
		decodedItems:     decodedItems,
		versionDeciders:  map[string]Decider{},
	}
}

// GuardedRevision tells whether the rollback guard watches a version of a service, and under which revision
// (see VersionRevision). Evidence gathered about a version under another revision does not count under this one.
func (s *Snapshot) GuardedRevision(service, version string) (revision uint64, guarded bool) {
	if !slices.Contains(s.GuardedVersions[service], version) {
		return 0, false
	}
	return s.VersionRevision(service, version), true
}

// VersionRevision is the revision of the latest release plan or stop of a version, guarded or not; 0 for none.
func (s *Snapshot) VersionRevision(service, version string) uint64 {
	return s.versionRevisions[serviceVersion{service, version}]
}

// ActiveStop gives the stop of a version that has not been lifted, nil for none.
func (s *Snapshot) ActiveStop(service, version string) *VersionStop {
	if len(s.Stops) == 0 {
		return nil
	}
	if stop := s.Stops[StopName(service, version)]; stop != nil && !stop.Lifted {
		return stop
	}
	return nil
}

// RampingByDeadline tells whether a plan with StrategyDeadline is giving a version more calls at present, to
// see how the version bears them.
func (s *Snapshot) RampingByDeadline(service, version string) bool {
	plan, progress := s.Releases[service], s.Progress[service]
	if plan == nil || progress == nil {
		return false
	}
	isPlanOfVersion := plan.Service == service && plan.Version == version
	return isPlanOfVersion && plan.Strategy == StrategyDeadline && progress.State == progressStateRamp
}

// FallbackOf names a service's fallback version, empty for a service that does not exist or has none.
func (s *Snapshot) FallbackOf(service string) string {
	if found := s.Services[service]; found != nil {
		return found.Fallback
	}
	return ""
}

// VersionFlagKey names the flag that picks the version of a service.
func VersionFlagKey(service string) string { return "release." + service }

// RouteFlagKey names the flag that picks the service of a split route.
func RouteFlagKey(route string) string { return "route." + route }

// Decider is the flag that picks a version or a service.
type Decider struct {
	Key  string     // of the flag, whether it exists or not
	Flag *flag.Flag // nil if there is none
}

// VersionDecider gives the flag that picks the version of a service.
func (s *Snapshot) VersionDecider(service string) Decider {
	if decider, found := s.versionDeciders[service]; found {
		return decider
	}
	return Decider{Key: VersionFlagKey(service)}
}

// ServiceDecider gives the flag that picks the service of a route, if the route is split.
func (s *Snapshot) ServiceDecider(route *Route) Decider {
	if route.splitFlag == nil {
		return Decider{Key: route.SplitFlagKey()}
	}
	return Decider{route.splitFlag.Key, route.splitFlag}
}
