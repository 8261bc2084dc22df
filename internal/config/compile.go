package config

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"meadowhinge/internal/policy"
	"meadowhinge/schema"
)

// Compile returns the snapshot of a state, and every fault in the state, ordered by path. A snapshot with faults
// can still be used: its faulty parts are left out or match nothing. revision becomes Snapshot.Revision.
func Compile(state State, revision uint64) (*Snapshot, []*schema.FieldError) {
	return CompileIncremental(nil, state, revision)
}

// CompileIncremental returns the same as Compile, but decodes only the items that differ from those of previous,
// an earlier snapshot. It reuses the other decoded items and the compiled policies of previous, which may be nil.
func CompileIncremental(previous *Snapshot, state State, revision uint64) (*Snapshot, []*schema.FieldError) {
	if previous == nil {
		previous = &Snapshot{decodedItems: map[string]*decodedItem{}}
	}
	snapshot := newSnapshot(revision, maps.Clone(previous.decodedItems))
	var faults faultList
	changedRoutes, replacedRoutes := snapshot.decodeChanges(state)
	for _, decoded := range snapshot.decodedItems {
		faults = append(faults, decoded.faults...)
		if decoded.value != nil {
			itemKinds[decoded.item.Kind].addTo(snapshot, decoded)
		}
	}
	snapshot.Routes = mergeRoutes(withoutRoutes(previous.routeMatcher.routes, replacedRoutes), changedRoutes)
	snapshot.routeMatcher = newMatcher(snapshot.Routes)
	snapshot.bindDiscoveredVersions()
	snapshot.addSplitFlags(faults.add)
	addFlagFaults(snapshot.Flags.CheckReferences(), faults.add)
	snapshot.checkReferences(faults.add)
	snapshot.bindPolicies(previous, faults.add)
	snapshot.bindVersionFlags()
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return snapshot, faults
}

// decodeChanges updates s.decodedItems, which has the items of the previous snapshot, to those of a state: it decodes
// the items that are new or changed, and drops those that the state no longer has. It returns the new and changed
// routes, ordered by compareRoutes, and the names of the routes of the previous snapshot that were changed or removed.
func (s *Snapshot) decodeChanges(state State) (changedRoutes []*Route, replacedRoutes map[string]bool) {
	replacedRoutes = map[string]bool{}
	liveItems := 0
	for key, item := range state {
		if item.Deleted {
			continue
		}
		liveItems++
		cached := s.decodedItems[key]
		if cached != nil && cached.matches(item) {
			continue
		}
		if cached != nil && item.Kind == kindRoute {
			replacedRoutes[item.Name] = true
		}
		fresh := decodeItem(item)
		s.decodeCount++
		s.decodedItems[key] = fresh
		if route, isRoute := fresh.value.(*Route); isRoute {
			changedRoutes = append(changedRoutes, route)
		}
	}
	// Every live item has been decoded, so the counts differ only if an item was removed.
	if len(s.decodedItems) > liveItems {
		s.dropRemoved(state, replacedRoutes)
	}
	slices.SortFunc(changedRoutes, compareRoutes)
	return changedRoutes, replacedRoutes
}

// dropRemoved drops the decoded items that a state no longer has, and adds the names of the routes among them to
// removedRoutes.
func (s *Snapshot) dropRemoved(state State, removedRoutes map[string]bool) {
	for key, cached := range s.decodedItems {
		if item := state[key]; item != nil && !item.Deleted {
			continue
		}
		delete(s.decodedItems, key)
		if cached.item.Kind == kindRoute {
			removedRoutes[cached.item.Name] = true
		}
	}
}

// withoutRoutes returns a new list of the routes whose names are not in names, in the same order.
func withoutRoutes(routes []*Route, names map[string]bool) []*Route {
	retained := make([]*Route, 0, len(routes))
	for _, route := range routes {
		if !names[route.Name] {
			retained = append(retained, route)
		}
	}
	return retained
}

// bindDiscoveredVersions gives the discovered versions and fallback to each service for which operators wrote neither.
func (s *Snapshot) bindDiscoveredVersions() {
	for name, service := range s.Services {
		discovered := s.DiscoveredVersions[name]
		if service.Versions != nil || service.Fallback != "" || discovered == nil {
			continue
		}
		// The decoded service is shared with other snapshots, which may have discovered other versions.
		bound := *service
		bound.Versions = discovered.Versions
		bound.Fallback = discovered.Fallback
		bound.allowedVersions = stringSet(discovered.Versions)
		s.Services[name] = &bound
	}
}

// addSplitFlags adds the flags of split routes to the flags that operators wrote. It reports a flag that an
// operator wrote under the key of a split route.
func (s *Snapshot) addSplitFlags(add faultReporter) {
	for _, route := range s.Routes {
		if route.splitFlag == nil {
			continue
		}
		key := route.splitFlag.Key
		if _, found := s.Flags.Flags[key]; found {
			add(itemPath(kindFlag, key), "the key is reserved for the split of route %q", route.Name)
		}
		s.Flags.Flags[key] = route.splitFlag
	}
}

// bindVersionFlags looks up the version flag of each service, and fills GuardedVersions with the versions
// besides the fallback that the flag may pick.
func (s *Snapshot) bindVersionFlags() {
	for _, name := range sortedKeys(s.Services) {
		key := VersionFlagKey(name)
		versionFlag := s.Flags.Flags[key]
		s.versionFlags[name] = FlagRef{key, versionFlag}
		if versionFlag == nil {
			continue
		}
		for _, version := range versionFlag.ReachableVariations() {
			if version != s.Services[name].Fallback {
				s.GuardedVersions[name] = append(s.GuardedVersions[name], version)
			}
		}
	}
}

// bindPolicies compiles the policy of each route, and sets Route.Policy. A policy is compiled once for each set of
// attributes with which routes use it. Programs of the previous snapshot are reused. A policy that no route names
// is compiled too, so that its faults are reported.
func (s *Snapshot) bindPolicies(previous *Snapshot, add faultReporter) {
	used := map[string]bool{}
	for i, route := range s.Routes {
		if route.PolicyName == "" {
			continue
		}
		path := itemPath(kindRoute, route.Name)
		if s.policies[route.PolicyName] == nil {
			add(path+".policy", "policy %q does not exist", route.PolicyName)
			continue
		}
		used[route.PolicyName] = true
		attributes := append([]string{}, sortedKeys(route.Attributes)...)
		for _, name := range attributes {
			if policy.IsReserved(name) {
				add(path+".attributes."+name, "%q is a built-in name in policies, an attribute must not have it", name)
			}
		}
		// The decoded route is shared with other snapshots, in which the policy may have another expression.
		bound := *route
		bound.Policy = s.compilePolicy(previous, route.PolicyName, attributes, " (with the attributes of route "+route.Name+")", add)
		s.Routes[i] = &bound
	}
	for _, name := range sortedKeys(s.policies) {
		if !used[name] {
			s.compilePolicy(previous, name, nil, "", add)
		}
	}
}

// compilePolicy returns the program of a policy for a set of attributes. If attributes is nil, any name may be an
// attribute. If the policy does not compile, compilePolicy reports a fault whose text ends with usage, and returns nil.
func (s *Snapshot) compilePolicy(previous *Snapshot, name string, attributes []string, usage string, add faultReporter) *policy.Program {
	expression := s.policies[name].Expression
	key := expression + "\x00" + strings.Join(attributes, "\x00")
	if program := previous.programs[key]; program != nil {
		s.programs[key] = program
	}
	if s.programs[key] == nil {
		program, fault := policy.Compile(expression, attributes)
		if fault != nil {
			add(itemPath(kindPolicy, name)+".expression", "line %d, column %d: %s%s", fault.Line, fault.Column, fault.Reason, usage)
			return nil
		}
		s.programs[key] = program
	}
	return s.programs[key]
}

// sortedKeys returns the keys of a map in order. Iterating in this order makes the order of faults deterministic.
func sortedKeys[V any](from map[string]V) []string {
	return slices.Sorted(maps.Keys(from))
}
