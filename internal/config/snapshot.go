package config

import (
	"slices"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// Snapshot is the compiled form of one configuration. It never changes once it is made. Its maps and lists are
// shared with readers and with later snapshots, so nobody may write to them.
type Snapshot struct {
	Revision           uint64                         // configuration revision that was compiled
	Services           map[string]*Service            // keyed by name
	Routes             []*Route                       // ordered by compareRoutes
	Flags              *flag.Set                      // flags and segments of operators, and the flags of split routes
	Releases           map[string]*Release            // release plans, keyed by name
	Progress           map[string]*Progress           // progress of release plans, keyed by name of the plan
	DiscoveredVersions map[string]*DiscoveredVersions // keyed by service
	Stops              map[string]*VersionStop        // active and lifted stops, keyed by StopName
	GuardedVersions    map[string][]string            // versions besides the fallback that the version flag may pick, keyed by service
	Limits             Limits                         // limits of operators, or DefaultLimits

	versionRevisions map[versionKey]uint64      // values that VersionRevision returns; a version without one is absent
	policies         map[string]*Policy         // keyed by name
	programs         map[string]*policy.Program // compiled policies, keyed by expression and attributes; later snapshots reuse them
	decodedItems     map[string]*decodedItem    // live items, keyed by Key; later snapshots reuse those that do not change
	versionFlags     map[string]FlagRef         // version flags, keyed by service
	routeMatcher     routeMatcher               // index of Routes
	decodeCount      int                        // number of items that were decoded for this snapshot, not reused
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// newSnapshot returns a snapshot without items that may reuse decodedItems. It takes over the map and changes it.
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

		versionRevisions: map[versionKey]uint64{},
		policies:         map[string]*Policy{},
		programs:         map[string]*policy.Program{},
		decodedItems:     decodedItems,
		versionFlags:     map[string]FlagRef{},
	}
}

// GuardedRevision reports whether the rollback guard watches a version of a service, and returns the version's
// VersionRevision. Evidence about a version that was gathered under another revision must not be used under this
// one. The revision is 0 for a version that is not guarded.
func (s *Snapshot) GuardedRevision(service, version string) (revision uint64, guarded bool) {
	if !slices.Contains(s.GuardedVersions[service], version) {
		return 0, false
	}
	return s.VersionRevision(service, version), true
}

// VersionRevision returns the configuration revision of the latest release plan or stop of a version, 0 for none.
// The version need not be guarded.
func (s *Snapshot) VersionRevision(service, version string) uint64 {
	return s.versionRevisions[versionKey{service, version}]
}

// ActiveStop returns the stop of a version, nil if there is none or if it has been lifted.
func (s *Snapshot) ActiveStop(service, version string) *VersionStop {
	if len(s.Stops) == 0 {
		return nil
	}
	if stop := s.Stops[StopName(service, version)]; stop != nil && !stop.Lifted {
		return stop
	}
	return nil
}

// RampingByDeadline reports whether a release plan with StrategyDeadline is at present raising a version's percentage
// of calls, to see how the version behaves under them. The plan must have the name of the service.
func (s *Snapshot) RampingByDeadline(service, version string) bool {
	plan, progress := s.Releases[service], s.Progress[service]
	if plan == nil || progress == nil {
		return false
	}
	isPlanOfVersion := plan.Service == service && plan.Version == version
	return isPlanOfVersion && plan.Strategy == StrategyDeadline && progress.State == progressStateRamping
}

// FallbackVersion returns the fallback version of a service, empty if the service does not exist or has none.
func (s *Snapshot) FallbackVersion(service string) string {
	if found := s.Services[service]; found != nil {
		return found.Fallback
	}
	return ""
}

// VersionFlagKey returns the key of the version flag of a service: the flag that picks the version of each call.
func VersionFlagKey(service string) string { return "release." + service }

// RouteFlagKey returns the key of the flag that picks the service for each request of a split route.
func RouteFlagKey(route string) string { return "route." + route }

// FlagRef is the result of looking up the flag that picks a version or a service.
type FlagRef struct {
	Key  string     // key of the flag, whether the flag exists or not
	Flag *flag.Flag // nil if the flag does not exist
}

// VersionFlag returns the version flag of a service.
func (s *Snapshot) VersionFlag(service string) FlagRef {
	if ref, found := s.versionFlags[service]; found {
		return ref
	}
	return FlagRef{Key: VersionFlagKey(service)}
}

// ServiceFlag returns the flag that picks the service of a route. Its Flag is nil for a route without a split.
func (s *Snapshot) ServiceFlag(route *Route) FlagRef {
	if route.splitFlag == nil {
		return FlagRef{Key: route.SplitFlagKey()}
	}
	return FlagRef{route.splitFlag.Key, route.splitFlag}
}
