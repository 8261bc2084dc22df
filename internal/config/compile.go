package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
	"meadowhinge/schema"
)

// faultReporter takes a fault at its path.
type faultReporter func(path, format string, values ...any)

// decodedItem is an item as decoded, with what is wrong with it by itself. It never changes once made,
// so setups share it.
type decodedItem struct {
	item   *schema.Item
	value  any // nil where the body could not be read
	faults []*schema.FieldError
}

// itemKind is how items of a kind are decoded, and where they stand in a setup.
type itemKind struct {
	decode func(item *schema.Item, add faultReporter) any
	addTo  func(made *Snapshot, held *decodedItem)
}

// newItemKind makes a kind of items with a body of V: finish completes and checks one by itself.
func newItemKind[V any](finish func(item *schema.Item, value *V, add faultReporter), addTo func(snapshot *Snapshot, name string, value *V, item *schema.Item)) itemKind {
	return itemKind{
		decode: func(item *schema.Item, add faultReporter) any {
			value := new(V)
			if err := decodeStrict(item.Body, value); err != nil {
				add(item.Kind+"."+item.Name, "%v", err)
				return nil
			}
			finish(item, value, add)
			return value
		},
		addTo: func(snapshot *Snapshot, decoded *decodedItem) {
			addTo(snapshot, decoded.item.Name, decoded.value.(*V), decoded.item)
		},
	}
}

// The kinds that are named elsewhere than in the table.
const (
	kindRoute  = "route"
	kindLimits = schema.LimitsKind
)

// itemKinds are all kinds of item. Routes have no place here: they are kept in order from setup to setup.
var itemKinds = map[string]itemKind{
	"service": newItemKind(func(_ *schema.Item, service *Service, _ faultReporter) {
		service.allowedVersions, service.allowedCallers = stringSet(service.Versions), stringSet(service.Callers)
	}, func(made *Snapshot, name string, service *Service, _ *schema.Item) { made.Services[name] = service }),
	"standing": newItemKind(func(item *schema.Item, standing *DiscoveredVersions, add faultReporter) {
		if !slices.Contains(standing.Versions, standing.Fallback) {
			add("standing."+item.Name+".fallback", "version %q is not in versions", standing.Fallback)
		}
	}, func(made *Snapshot, name string, standing *DiscoveredVersions, _ *schema.Item) {
		made.DiscoveredVersions[name] = standing
	}),
	kindRoute: newItemKind(finishRoute, func(*Snapshot, string, *Route, *schema.Item) {}),
	"limits":  newItemKind(applyDefaultLimits, func(made *Snapshot, _ string, limits *Limits, _ *schema.Item) { made.Limits = *limits }),
	"flag": newItemKind(func(item *schema.Item, decoded *flag.Flag, add faultReporter) {
		decoded.Key = item.Name
		for _, fault := range decoded.Prepare() {
			add(fault.Path, "%s", fault.Reason)
		}
	}, func(made *Snapshot, name string, decoded *flag.Flag, _ *schema.Item) {
		made.Flags.Flags[name] = decoded
	}),
	"segment": newItemKind(func(item *schema.Item, decoded *flag.Segment, add faultReporter) {
		decoded.Key = item.Name
		for _, fault := range decoded.Prepare() {
			add(fault.Path, "%s", fault.Reason)
		}
	}, func(made *Snapshot, name string, decoded *flag.Segment, _ *schema.Item) {
		made.Flags.Segments[name] = decoded
	}),
	"release": newItemKind(func(item *schema.Item, release *Release, add faultReporter) {
		release.Name, release.Revision = item.Name, item.Version.GetSequence()
		release.Duration = parsePositiveDuration(release.DurationText, "release."+item.Name+".over", add)
	}, func(made *Snapshot, name string, release *Release, item *schema.Item) {
		made.Releases[name] = release
		made.recordRevision(release.Service, release.Version, item)
	}),
	"stop": newItemKind(func(*schema.Item, *VersionStop, faultReporter) {}, func(made *Snapshot, name string, stop *VersionStop, item *schema.Item) {
		made.Stops[name] = stop
		made.recordRevision(stop.Service, stop.Version, item)
	}),
	"policy":   newItemKind(func(*schema.Item, *Policy, faultReporter) {}, func(made *Snapshot, name string, one *Policy, _ *schema.Item) { made.policies[name] = one }),
	KindPurged: newItemKind(func(*schema.Item, *tombstonePurge, faultReporter) {}, func(*Snapshot, string, *tombstonePurge, *schema.Item) {}),
	"progress": newItemKind(func(*schema.Item, *Progress, faultReporter) {}, func(made *Snapshot, name string, one *Progress, _ *schema.Item) { made.Progress[name] = one }),
}

// parsePositiveDuration reads a span of time that must be above zero.
func parsePositiveDuration(text, path string, add faultReporter) time.Duration {
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil:
		add(path, "%v", err)
	case duration <= 0:
		add(path, "must be a time above zero")
	}
	return duration
}

// maxTargetPastDeadline is how much longer than its horizon a route's aim may not be: so much is no slip.
const maxTargetPastDeadline = time.Minute

// finishRoute completes a route and finds what is wrong with it by itself.
func finishRoute(item *schema.Item, route *Route, add faultReporter) {
	path := "route." + item.Name
	route.Name, route.operatorVersion = item.Name, item.OperatorVersion
	if route.HostText != nil {
		// Left out is any host; stated, it must be one.
		if route.Host = NormalizeHost(*route.HostText); route.Host == "" {
			add(path+".host", "must not be empty")
		}
	}
	if route.DeadlineText != "" {
		route.Deadline = parsePositiveDuration(route.DeadlineText, path+".horizon", add)
	}
	if route.LatencyTargetText != "" {
		route.LatencyTarget = parsePositiveDuration(route.LatencyTargetText, path+".aim", add)
		if route.Deadline > 0 && route.LatencyTarget-route.Deadline >= maxTargetPastDeadline {
			add(path+".aim", "is longer than the horizon by %v", route.LatencyTarget-route.Deadline)
		}
	}
	if route.MaxAttempts < 0 {
		add(path+".tries", "must not be below zero")
	}
	if route.Class != "" && route.Class != ClassNonIdempotent && route.Class != ClassIdempotent {
		add(path+".class", "class %q does not exist", route.Class)
	}
	if len(route.Split) > 0 {
		buildSplitFlag(path, route, add)
	}
}

// buildSplitFlag makes the flag that decides a route's service: a percentage rollout over them.
func buildSplitFlag(path string, route *Route, add faultReporter) {
	if route.Service != "" {
		add(path+".service", "is stated beside a split")
	}
	totalWeight := 0.0
	for i, weighted := range route.Split {
		if weighted.Weight < 0 {
			add(fmt.Sprintf("%s.split[%d].weight", path, i), "must not be below zero")
			return
		}
		totalWeight += weighted.Weight
	}
	if totalWeight <= 0 {
		add(path+".split", "gives no service any weight")
		return
	}
	decider := &flag.Flag{Key: route.SplitFlagKey(), On: true, Salt: route.Name}
	rollout := &flag.Rollout{}
	cumulativeWeight, previousBound := 0.0, 0
	for i, weighted := range route.Split {
		cumulativeWeight += weighted.Weight
		// The sums are rounded, not the weights, so that these make up the whole.
		bound := int(math.Round(cumulativeWeight / totalWeight * flag.TotalWeight))
		decider.Variations = append(decider.Variations, weighted.Service)
		rollout.Variations = append(rollout.Variations, flag.WeightedVariation{Variation: i, Weight: bound - previousBound})
		previousBound = bound
	}
	decider.Fallthrough.Rollout = rollout
	decider.Prepare()
	route.splitFlag = decider
}

// applyDefaultLimits puts the usual limits where none are stated.
func applyDefaultLimits(item *schema.Item, limits *Limits, add faultReporter) {
	const path = kindLimits
	if item.Name != schema.LimitsName {
		add(path+"."+item.Name, "must be named %q", schema.LimitsName)
	}
	if limits.MaxHeaderBytes < 0 {
		add(path+".headerMost", "must not be below zero")
	}
	if limits.MaxBodyBytes < 0 {
		add(path+".bodyMost", "must not be below zero")
	}
	limits.HeaderTimeout, limits.IdleTimeout = DefaultLimits.HeaderTimeout, DefaultLimits.IdleTimeout
	if limits.HeaderTimeoutText != "" {
		limits.HeaderTimeout = parsePositiveDuration(limits.HeaderTimeoutText, path+".headerWait", add)
	}
	if limits.IdleTimeoutText != "" {
		limits.IdleTimeout = parsePositiveDuration(limits.IdleTimeoutText, path+".quiet", add)
	}
	if limits.MaxHeaderBytes == 0 {
		limits.MaxHeaderBytes = DefaultLimits.MaxHeaderBytes
	}
	if limits.MaxBodyBytes == 0 {
		limits.MaxBodyBytes = DefaultLimits.MaxBodyBytes
	}
}

// recordRevision notes that an item states something of a version; the latest counts.
func (s *Snapshot) recordRevision(service, version string, item *schema.Item) {
	key := [2]string{service, version}
	s.versionRevisions[key] = max(s.versionRevisions[key], item.Version.GetSequence())
}

func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func stringSet(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
	}
	return members
}

// decodeItem reads an item and finds what is wrong with it by itself.
func decodeItem(item *schema.Item) *decodedItem {
	decoded := &decodedItem{item: item}
	add := func(path, format string, values ...any) {
		decoded.faults = append(decoded.faults, &schema.FieldError{Path: path, Reason: fmt.Sprintf(format, values...)})
	}
	itemKind, found := itemKinds[item.Kind]
	if !found {
		add(item.Kind+"."+item.Name, "kind %q does not exist", item.Kind)
		return decoded
	}
	decoded.value = itemKind.decode(item, add)
	return decoded
}

// Check finds what is wrong with items by themselves, whatever else there is: an item that can
// never be right is refused even where a newer one stands.
func Check(items []*schema.Item) []*schema.FieldError {
	var faults []*schema.FieldError
	for _, item := range items {
		if !item.Deleted {
			faults = append(faults, decodeItem(item).faults...)
		}
	}
	return faults
}

// Compile makes a setup of the state and lists every fault, each at its path.
func Compile(state State, revision uint64) (*Snapshot, []*schema.FieldError) {
	return CompileIncremental(nil, state, revision)
}

// sameItem tells whether a part was made of an item, or of one that says the same.
func (d *decodedItem) sameItem(item *schema.Item) bool {
	decodedFrom := d.item
	return decodedFrom == item || (decodedFrom.Version.GetSequence() == item.Version.GetSequence() && decodedFrom.Version.GetTerm() == item.Version.GetTerm() &&
		decodedFrom.OperatorVersion == item.OperatorVersion && bytes.Equal(decodedFrom.Body, item.Body))
}

// CompileIncremental is Compile with everything taken over from an earlier setup whose item stayed:
// a change costs by what it changes.
func CompileIncremental(previous *Snapshot, state State, revision uint64) (*Snapshot, []*schema.FieldError) {
	if previous == nil {
		previous = &Snapshot{decodedItems: map[string]*decodedItem{}}
	}
	snapshot := &Snapshot{
		Revision:           revision,
		Services:           map[string]*Service{},
		Flags:              &flag.Set{Flags: map[string]*flag.Flag{}, Segments: map[string]*flag.Segment{}},
		Releases:           map[string]*Release{},
		Progress:           map[string]*Progress{},
		DiscoveredVersions: map[string]*DiscoveredVersions{},
		Stops:              map[string]*VersionStop{},
		GuardedVersions:    map[string][]string{},
		Limits:             DefaultLimits,

		versionRevisions: map[[2]string]uint64{},
		policies:         map[string]*Policy{},
		programs:         map[string]*policy.Program{},
		decodedItems:     maps.Clone(previous.decodedItems),
		versionDeciders:  map[string]Decider{},
	}
	var faults []*schema.FieldError
	add := func(path, format string, values ...any) {
		faults = append(faults, &schema.FieldError{Path: path, Reason: fmt.Sprintf(format, values...)})
	}
	changedRoutes, retainUnchanged := snapshot.decodeChanges(state)
	for _, decoded := range snapshot.decodedItems {
		faults = append(faults, decoded.faults...)
		if decoded.value != nil && decoded.item.Kind != kindRoute {
			itemKinds[decoded.item.Kind].addTo(snapshot, decoded)
		}
	}
	snapshot.Routes = mergeRoutes(retainUnchanged(previous.routeMatcher.routes), changedRoutes)
	snapshot.routeMatcher = newMatcher(snapshot.Routes)
	snapshot.bindDiscoveredVersions()
	for _, route := range snapshot.Routes {
		if route.splitFlag == nil {
			continue
		}
		if _, found := snapshot.Flags.Flags[route.splitFlag.Key]; found {
			add("flag."+route.splitFlag.Key, "is made of the split of route %q", route.Name)
		}
		snapshot.Flags.Flags[route.splitFlag.Key] = route.splitFlag
	}
	for _, fault := range snapshot.Flags.CheckReferences() {
		add(fault.Path, "%s", fault.Reason)
	}
	snapshot.checkReferences(add)
	snapshot.bindPolicies(previous, add)
	for _, name := range sortedKeys(snapshot.Services) {
		key := VersionFlagKey(name)
		decider := snapshot.Flags.Flags[key]
		snapshot.versionDeciders[name] = Decider{key, decider}
		if decider != nil {
			for _, version := range decider.ReachableVariations() {
				if version != snapshot.Services[name].Fallback {
					snapshot.GuardedVersions[name] = append(snapshot.GuardedVersions[name], version)
				}
			}
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return snapshot, faults
}

// decodeChanges decodes what is new or changed in a state and drops what is gone. It gives the routes
// that are new, in order, and a sieve for those of before that stand.
func (s *Snapshot) decodeChanges(state State) (changedRoutes []*Route, retainUnchanged func([]*Route) []*Route) {
	replacedRoutes, liveItems := map[string]bool{}, 0
	for key, item := range state {
		if item.Deleted {
			continue
		}
		liveItems++
		cached := s.decodedItems[key]
		if cached != nil && cached.sameItem(item) {
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
	if len(s.decodedItems) > liveItems {
		for key, cached := range s.decodedItems {
			if item := state[key]; item == nil || item.Deleted {
				delete(s.decodedItems, key)
				if cached.item.Kind == kindRoute {
					replacedRoutes[cached.item.Name] = true
				}
			}
		}
	}
	slices.SortFunc(changedRoutes, compareRoutes)
	return changedRoutes, func(previous []*Route) []*Route {
		retained := make([]*Route, 0, len(previous))
		for _, route := range previous {
			if !replacedRoutes[route.Name] {
				retained = append(retained, route)
			}
		}
		return retained
	}
}

// bindDiscoveredVersions gives services of which no versions are stated those that stand.
func (s *Snapshot) bindDiscoveredVersions() {
	for name, service := range s.Services {
		discovered := s.DiscoveredVersions[name]
		if service.Versions != nil || service.Fallback != "" || discovered == nil {
			continue
		}
		// The decoded service is shared with other setups, whose standing was another.
		bound := *service
		bound.Versions, bound.Fallback, bound.allowedVersions = discovered.Versions, discovered.Fallback, stringSet(discovered.Versions)
		s.Services[name] = &bound
	}
}

// bindPolicies compiles each policy once for each set of attributes that routes give it, and
// takes over what the setup before had compiled.
func (s *Snapshot) bindPolicies(previous *Snapshot, add faultReporter) {
	compile := func(name string, attributes []string, user string) *policy.Program {
		expression := s.policies[name].Expression
		key := expression + "\x00" + strings.Join(attributes, "\x00")
		if previous != nil && previous.programs[key] != nil {
			s.programs[key] = previous.programs[key]
		}
		if s.programs[key] == nil {
			program, fault := policy.Compile(expression, attributes)
			if fault != nil {
				add("policy."+name+".expression", "line %d, column %d: %s%s", fault.Line, fault.Column, fault.Reason, user)
				return nil
			}
			s.programs[key] = program
		}
		return s.programs[key]
	}
	used := map[string]bool{}
	for i, route := range s.Routes {
		if route.PolicyName == "" {
			continue
		}
		if s.policies[route.PolicyName] == nil {
			add("route."+route.Name+".policy", "policy %q does not exist", route.PolicyName)
			continue
		}
		used[route.PolicyName] = true
		for _, name := range sortedKeys(route.Attributes) {
			if policy.IsReserved(name) {
				add("route."+route.Name+".attributes."+name, "a policy knows %q as its own", name)
			}
		}
		// A route may be shared with the setup before, whose policy was another.
		bound := *route
		bound.Policy = compile(route.PolicyName, append([]string{}, sortedKeys(route.Attributes)...), " (as route "+route.Name+" names it)")
		s.Routes[i] = &bound
	}
	for _, name := range sortedKeys(s.policies) {
		if !used[name] {
			compile(name, nil, "")
		}
	}
}

// sortedKeys lists a map's keys in order, so that faults come in the same order each time.
func sortedKeys[V any](from map[string]V) []string {
	return slices.Sorted(maps.Keys(from))
}

// checkReferences finds what no item shows alone.
func (s *Snapshot) checkReferences(add faultReporter) {
	for _, name := range sortedKeys(s.Services) {
		service := s.Services[name]
		// Where no version is stated and none stands yet, the service has no worker so far: that is no fault.
		if (service.Versions != nil || service.Fallback != "") && !service.AllowsVersion(service.Fallback) {
			add("service."+name+".fallback", "version %q is not in versions", service.Fallback)
		}
		decider, found := s.Flags.Flags[VersionFlagKey(name)]
		if !found {
			continue
		}
		for i, version := range decider.Variations {
			if !service.AllowsVersion(version) {
				add(fmt.Sprintf("flag.%s.variations[%d]", decider.Key, i), "service %q does not list version %q", name, version)
			}
		}
	}
	for _, key := range sortedKeys(s.Flags.Flags) {
		// What the release duty wrote of a service outlasts it: an operator may drop it and bring it again.
		if service, decides := strings.CutPrefix(key, VersionFlagKey("")); decides && s.Services[service] == nil && s.DiscoveredVersions[service] == nil {
			add("flag."+key, "service %q does not exist", service)
		}
	}
	s.checkRouteReferences(add)
	for _, name := range sortedKeys(s.Stops) {
		stop, path := s.Stops[name], "stop."+name
		service := s.Services[stop.Service]
		switch {
		case name != StopName(stop.Service, stop.Version):
			add(path, "must be named %q", StopName(stop.Service, stop.Version))
		case service == nil:
			add(path+".service", "service %q does not exist", stop.Service)
		case !service.AllowsVersion(stop.Version):
			add(path+".version", "service %q does not list version %q", stop.Service, stop.Version)
		case stop.Version == service.Fallback && !stop.Lifted:
			add(path+".version", "is the fallback version, which has none to take its calls")
		}
	}
	planByService := map[string]string{}
	for _, name := range sortedKeys(s.Releases) {
		release := s.Releases[name]
		path := "release." + name
		service, discovered := s.Services[release.Service], s.DiscoveredVersions[release.Service] != nil
		if service == nil && discovered {
			continue
		}
		if service == nil {
			add(path+".service", "service %q does not exist", release.Service)
		} else if !service.AllowsVersion(release.Version) {
			add(path+".version", "service %q does not list version %q", release.Service, release.Version)
		}
		if decider := s.Flags.Flags[VersionFlagKey(release.Service)]; decider == nil || !slices.Contains(decider.Variations, release.Version) {
			add(path, "flag %q does not have the variation %q", VersionFlagKey(release.Service), release.Version)
		} else if service != nil && release.Version == service.Fallback && !discovered {
			// What stands may be what this very plan made of it.
			add(path+".version", "is the fallback version, which has no other to be weighed against")
		}
		if other, found := planByService[release.Service]; found {
			add(path, "service %q has the plan %q already", release.Service, other)
		}
		planByService[release.Service] = name
	}
}

// checkRouteReferences finds services that routes name and that do not exist, and routes at one place.
func (s *Snapshot) checkRouteReferences(add faultReporter) {
	for _, route := range s.Routes {
		switch {
		case len(route.Split) > 0:
		case route.Service == "":
			add("route."+route.Name+".service", "neither a service nor a split is named")
		case s.Services[route.Service] == nil:
			add("route."+route.Name+".service", "service %q does not exist", route.Service)
		}
		for i, share := range route.Split {
			if s.Services[share.Service] == nil {
				add(fmt.Sprintf("route.%s.split[%d].service", route.Name, i), "service %q does not exist", share.Service)
			}
		}
	}
	for _, group := range s.routeMatcher.groups {
		within := s.Routes[group.routes.from:group.routes.to]
		for i, route := range within {
			for _, other := range within[:i] {
				// Who gives items versions of their own may race with others who do, each by what it
				// knew: both changes are then taken, and the matcher's order rules.
				if method, overlaps := overlappingMethod(route, other); overlaps && (route.operatorVersion == 0 || other.operatorVersion == 0) {
					add("route."+route.Name, "%s %s is taken by route %q", method, route.Prefix, other.Name)
				}
			}
		}
	}
}

// overlappingMethod names a method that two routes both take.
func overlappingMethod(a, b *Route) (string, bool) {
	if len(a.Methods) == 0 && len(b.Methods) == 0 {
		return "*", true
	}
	for _, method := range a.Methods {
		if slices.Contains(b.Methods, method) {
			return method, true
		}
	}
	return "", false
}
