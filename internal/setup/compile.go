package setup

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

// adder takes a fault at its path.
type adder func(path, format string, values ...any)

// part is an item as decoded, with what is wrong with it by itself. It never changes once made,
// so setups share it.
type part struct {
	item   *schema.Item
	value  any // nil where the body could not be read
	faults []*schema.Fault
}

// kind is how items of a kind are decoded, and where they stand in a setup.
type kind struct {
	decode func(item *schema.Item, add adder) any
	place  func(made *Setup, held *part)
}

// kindOf makes a kind of items with a body of V: finish completes and checks one by itself.
func kindOf[V any](finish func(item *schema.Item, value *V, add adder), place func(made *Setup, name string, value *V, item *schema.Item)) kind {
	return kind{
		decode: func(item *schema.Item, add adder) any {
			value := new(V)
			if err := strict(item.Body, value); err != nil {
				add(item.Kind+"."+item.Name, "%v", err)
				return nil
			}
			finish(item, value, add)
			return value
		},
		place: func(made *Setup, held *part) { place(made, held.item.Name, held.value.(*V), held.item) },
	}
}

// The kinds that are named elsewhere than in the table.
const (
	routeKind  = "route"
	limitsKind = schema.LimitsKind
)

// kinds are all kinds of item. Routes have no place here: they are kept in order from setup to setup.
var kinds = map[string]kind{
	"service": kindOf(func(_ *schema.Item, service *Service, _ adder) {
		service.allowed, service.callers = set(service.Versions), set(service.Callers)
	}, func(made *Setup, name string, service *Service, _ *schema.Item) { made.Services[name] = service }),
	"standing": kindOf(func(item *schema.Item, standing *Standing, add adder) {
		if !slices.Contains(standing.Versions, standing.Fallback) {
			add("standing."+item.Name+".fallback", "version %q is not in versions", standing.Fallback)
		}
	}, func(made *Setup, name string, standing *Standing, _ *schema.Item) { made.Standing[name] = standing }),
	routeKind: kindOf(finishRoute, func(*Setup, string, *Route, *schema.Item) {}),
	"limits":  kindOf(finishLimits, func(made *Setup, _ string, limits *Limits, _ *schema.Item) { made.Limits = *limits }),
	"flag": kindOf(func(item *schema.Item, decoded *flag.Flag, add adder) {
		decoded.Key = item.Name
		for _, fault := range decoded.Prepare() {
			add(fault.Path, "%s", fault.Reason)
		}
	}, func(made *Setup, name string, decoded *flag.Flag, _ *schema.Item) { made.Flags.Flags[name] = decoded }),
	"segment": kindOf(func(item *schema.Item, decoded *flag.Segment, add adder) {
		decoded.Key = item.Name
		for _, fault := range decoded.Prepare() {
			add(fault.Path, "%s", fault.Reason)
		}
	}, func(made *Setup, name string, decoded *flag.Segment, _ *schema.Item) {
		made.Flags.Segments[name] = decoded
	}),
	"release": kindOf(func(item *schema.Item, release *Release, add adder) {
		release.Name, release.Sequence = item.Name, item.Version.GetSequence()
		release.Over = spanOf(release.OverIn, "release."+item.Name+".over", add)
	}, func(made *Setup, name string, release *Release, item *schema.Item) {
		made.Releases[name] = release
		made.state(release.Service, release.Version, item)
	}),
	"stop": kindOf(func(*schema.Item, *Stop, adder) {}, func(made *Setup, name string, stop *Stop, item *schema.Item) {
		made.Stops[name] = stop
		made.state(stop.Service, stop.Version, item)
	}),
	"policy":   kindOf(func(*schema.Item, *Policy, adder) {}, func(made *Setup, name string, one *Policy, _ *schema.Item) { made.policies[name] = one }),
	Purged:     kindOf(func(*schema.Item, *purged, adder) {}, func(*Setup, string, *purged, *schema.Item) {}),
	"progress": kindOf(func(*schema.Item, *Progress, adder) {}, func(made *Setup, name string, one *Progress, _ *schema.Item) { made.Progress[name] = one }),
}

// spanOf reads a span of time that must be above zero.
func spanOf(text, path string, add adder) time.Duration {
	span, err := time.ParseDuration(text)
	switch {
	case err != nil:
		add(path, "%v", err)
	case span <= 0:
		add(path, "must be a time above zero")
	}
	return span
}

// aimBeyond is how much longer than its horizon a route's aim may not be: so much is no slip.
const aimBeyond = time.Minute

// finishRoute completes a route and finds what is wrong with it by itself.
func finishRoute(item *schema.Item, route *Route, add adder) {
	path := "route." + item.Name
	route.Name, route.given = item.Name, item.Given
	if route.HostIn != nil {
		// Left out is any host; stated, it must be one.
		if route.Host = HostOf(*route.HostIn); route.Host == "" {
			add(path+".host", "must not be empty")
		}
	}
	if route.HorizonIn != "" {
		route.Horizon = spanOf(route.HorizonIn, path+".horizon", add)
	}
	if route.AimIn != "" {
		route.Aim = spanOf(route.AimIn, path+".aim", add)
		if route.Horizon > 0 && route.Aim-route.Horizon >= aimBeyond {
			add(path+".aim", "is longer than the horizon by %v", route.Aim-route.Horizon)
		}
	}
	if route.Tries < 0 {
		add(path+".tries", "must not be below zero")
	}
	if route.Class != "" && route.Class != Once && route.Class != Repeatable {
		add(path+".class", "class %q does not exist", route.Class)
	}
	if len(route.Split) > 0 {
		finishSplit(path, route, add)
	}
}

// finishSplit makes the flag that decides a route's service: a percentage rollout over them.
func finishSplit(path string, route *Route, add adder) {
	if route.Service != "" {
		add(path+".service", "is stated beside a split")
	}
	whole := 0.0
	for i, share := range route.Split {
		if share.Weight < 0 {
			add(fmt.Sprintf("%s.split[%d].weight", path, i), "must not be below zero")
			return
		}
		whole += share.Weight
	}
	if whole <= 0 {
		add(path+".split", "gives no service any weight")
		return
	}
	decider := &flag.Flag{Key: route.SplitFlag(), On: true, Salt: route.Name}
	rollout := &flag.Rollout{}
	sum, before := 0.0, 0
	for i, share := range route.Split {
		sum += share.Weight
		// The sums are rounded, not the weights, so that these make up the whole.
		upTo := int(math.Round(sum / whole * flag.Whole))
		decider.Variations = append(decider.Variations, share.Service)
		rollout.Variations = append(rollout.Variations, flag.Weighted{Variation: i, Weight: upTo - before})
		before = upTo
	}
	decider.Fallthrough.Rollout = rollout
	decider.Prepare()
	route.splitFlag = decider
}

// finishLimits puts the usual limits where none are stated.
func finishLimits(item *schema.Item, limits *Limits, add adder) {
	const path = limitsKind
	if item.Name != schema.LimitsName {
		add(path+"."+item.Name, "must be named %q", schema.LimitsName)
	}
	if limits.HeaderMost < 0 {
		add(path+".headerMost", "must not be below zero")
	}
	if limits.BodyMost < 0 {
		add(path+".bodyMost", "must not be below zero")
	}
	limits.HeaderWait, limits.Quiet = DefaultLimits.HeaderWait, DefaultLimits.Quiet
	if limits.HeaderWaitIn != "" {
		limits.HeaderWait = spanOf(limits.HeaderWaitIn, path+".headerWait", add)
	}
	if limits.QuietIn != "" {
		limits.Quiet = spanOf(limits.QuietIn, path+".quiet", add)
	}
	if limits.HeaderMost == 0 {
		limits.HeaderMost = DefaultLimits.HeaderMost
	}
	if limits.BodyMost == 0 {
		limits.BodyMost = DefaultLimits.BodyMost
	}
}

// state notes that an item states something of a version; the latest counts.
func (s *Setup) state(service, version string, item *schema.Item) {
	key := [2]string{service, version}
	s.statements[key] = max(s.statements[key], item.Version.GetSequence())
}

func strict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func set(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
	}
	return members
}

// decode reads an item and finds what is wrong with it by itself.
func decode(item *schema.Item) *part {
	made := &part{item: item}
	add := func(path, format string, values ...any) {
		made.faults = append(made.faults, &schema.Fault{Path: path, Reason: fmt.Sprintf(format, values...)})
	}
	known, found := kinds[item.Kind]
	if !found {
		add(item.Kind+"."+item.Name, "kind %q does not exist", item.Kind)
		return made
	}
	made.value = known.decode(item, add)
	return made
}

// Check finds what is wrong with items by themselves, whatever else there is: an item that can
// never be right is refused even where a newer one stands.
func Check(items []*schema.Item) []*schema.Fault {
	var faults []*schema.Fault
	for _, item := range items {
		if !item.Deleted {
			faults = append(faults, decode(item).faults...)
		}
	}
	return faults
}

// Compile makes a setup of the state and lists every fault, each at its path.
func Compile(state State, sequence uint64) (*Setup, []*schema.Fault) {
	return CompileAfter(nil, state, sequence)
}

// same tells whether a part was made of an item, or of one that says the same.
func (p *part) same(item *schema.Item) bool {
	held := p.item
	return held == item || (held.Version.GetSequence() == item.Version.GetSequence() && held.Version.GetEpoch() == item.Version.GetEpoch() &&
		held.Given == item.Given && bytes.Equal(held.Body, item.Body))
}

// CompileAfter is Compile with everything taken over from an earlier setup whose item stayed:
// a change costs by what it changes.
func CompileAfter(before *Setup, state State, sequence uint64) (*Setup, []*schema.Fault) {
	if before == nil {
		before = &Setup{parts: map[string]*part{}}
	}
	made := &Setup{
		Sequence: sequence,
		Services: map[string]*Service{},
		Flags:    &flag.Set{Flags: map[string]*flag.Flag{}, Segments: map[string]*flag.Segment{}},
		Releases: map[string]*Release{},
		Progress: map[string]*Progress{},
		Standing: map[string]*Standing{},
		Stops:    map[string]*Stop{},
		Guards:   map[string][]string{},
		Limits:   DefaultLimits,

		statements: map[[2]string]uint64{},
		policies:   map[string]*Policy{},
		programs:   map[string]*policy.Program{},
		parts:      maps.Clone(before.parts),
		deciders:   map[string]Decider{},
	}
	var faults []*schema.Fault
	add := func(path, format string, values ...any) {
		faults = append(faults, &schema.Fault{Path: path, Reason: fmt.Sprintf(format, values...)})
	}
	changed, standing := made.take(state)
	for _, held := range made.parts {
		faults = append(faults, held.faults...)
		if held.value != nil && held.item.Kind != routeKind {
			kinds[held.item.Kind].place(made, held)
		}
	}
	made.Routes = merged(standing(before.match.routes), changed)
	made.match = newMatcher(made.Routes)
	made.bindStanding()
	for _, route := range made.Routes {
		if route.splitFlag == nil {
			continue
		}
		if _, found := made.Flags.Flags[route.splitFlag.Key]; found {
			add("flag."+route.splitFlag.Key, "is made of the split of route %q", route.Name)
		}
		made.Flags.Flags[route.splitFlag.Key] = route.splitFlag
	}
	for _, fault := range made.Flags.Check() {
		add(fault.Path, "%s", fault.Reason)
	}
	made.crossCheck(add)
	made.bindPolicies(before, add)
	for _, name := range names(made.Services) {
		key := FlagOf(name)
		decider := made.Flags.Flags[key]
		made.deciders[name] = Decider{key, decider}
		if decider != nil {
			for _, version := range decider.Reachable() {
				if version != made.Services[name].Fallback {
					made.Guards[name] = append(made.Guards[name], version)
				}
			}
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return made, faults
}

// take decodes what is new or changed in a state and drops what is gone. It gives the routes
// that are new, in order, and a sieve for those of before that stand.
func (s *Setup) take(state State) (changed []*Route, standing func([]*Route) []*Route) {
	gone, live := map[string]bool{}, 0
	for key, item := range state {
		if item.Deleted {
			continue
		}
		live++
		held := s.parts[key]
		if held != nil && held.same(item) {
			continue
		}
		if held != nil && item.Kind == routeKind {
			gone[item.Name] = true
		}
		fresh := decode(item)
		s.decodes++
		s.parts[key] = fresh
		if route, is := fresh.value.(*Route); is {
			changed = append(changed, route)
		}
	}
	if len(s.parts) > live {
		for key, held := range s.parts {
			if item := state[key]; item == nil || item.Deleted {
				delete(s.parts, key)
				if held.item.Kind == routeKind {
					gone[held.item.Name] = true
				}
			}
		}
	}
	slices.SortFunc(changed, ordered)
	return changed, func(before []*Route) []*Route {
		kept := make([]*Route, 0, len(before))
		for _, route := range before {
			if !gone[route.Name] {
				kept = append(kept, route)
			}
		}
		return kept
	}
}

// bindStanding gives services of which no versions are stated those that stand.
func (s *Setup) bindStanding() {
	for name, service := range s.Services {
		standing := s.Standing[name]
		if service.Versions != nil || service.Fallback != "" || standing == nil {
			continue
		}
		// The decoded service is shared with other setups, whose standing was another.
		bound := *service
		bound.Versions, bound.Fallback, bound.allowed = standing.Versions, standing.Fallback, set(standing.Versions)
		s.Services[name] = &bound
	}
}

// bindPolicies compiles each policy once for each set of attributes that routes give it, and
// takes over what the setup before had compiled.
func (s *Setup) bindPolicies(before *Setup, add adder) {
	compile := func(name string, attributes []string, user string) *policy.Program {
		expression := s.policies[name].Expression
		key := expression + "\x00" + strings.Join(attributes, "\x00")
		if before != nil && before.programs[key] != nil {
			s.programs[key] = before.programs[key]
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
		for _, name := range names(route.Attributes) {
			if policy.Reserved(name) {
				add("route."+route.Name+".attributes."+name, "a policy knows %q as its own", name)
			}
		}
		// A route may be shared with the setup before, whose policy was another.
		bound := *route
		bound.Policy = compile(route.PolicyName, append([]string{}, names(route.Attributes)...), " (as route "+route.Name+" names it)")
		s.Routes[i] = &bound
	}
	for _, name := range names(s.policies) {
		if !used[name] {
			compile(name, nil, "")
		}
	}
}

// names lists a map's keys in order, so that faults come in the same order each time.
func names[V any](from map[string]V) []string {
	return slices.Sorted(maps.Keys(from))
}

// crossCheck finds what no item shows alone.
func (s *Setup) crossCheck(add adder) {
	for _, name := range names(s.Services) {
		service := s.Services[name]
		// Where no version is stated and none stands yet, the service has no worker so far: that is no fault.
		if (service.Versions != nil || service.Fallback != "") && !service.Allows(service.Fallback) {
			add("service."+name+".fallback", "version %q is not in versions", service.Fallback)
		}
		decider, found := s.Flags.Flags[FlagOf(name)]
		if !found {
			continue
		}
		for i, version := range decider.Variations {
			if !service.Allows(version) {
				add(fmt.Sprintf("flag.%s.variations[%d]", decider.Key, i), "service %q does not list version %q", name, version)
			}
		}
	}
	for _, key := range names(s.Flags.Flags) {
		// What the release duty wrote of a service outlasts it: an operator may drop it and bring it again.
		if service, decides := strings.CutPrefix(key, FlagOf("")); decides && s.Services[service] == nil && s.Standing[service] == nil {
			add("flag."+key, "service %q does not exist", service)
		}
	}
	s.crossCheckRoutes(add)
	for _, name := range names(s.Stops) {
		stop, path := s.Stops[name], "stop."+name
		service := s.Services[stop.Service]
		switch {
		case name != StopName(stop.Service, stop.Version):
			add(path, "must be named %q", StopName(stop.Service, stop.Version))
		case service == nil:
			add(path+".service", "service %q does not exist", stop.Service)
		case !service.Allows(stop.Version):
			add(path+".version", "service %q does not list version %q", stop.Service, stop.Version)
		case stop.Version == service.Fallback && !stop.Lifted:
			add(path+".version", "is the fallback version, which has none to take its calls")
		}
	}
	planned := map[string]string{}
	for _, name := range names(s.Releases) {
		release := s.Releases[name]
		path := "release." + name
		service, stands := s.Services[release.Service], s.Standing[release.Service] != nil
		if service == nil && stands {
			continue
		}
		if service == nil {
			add(path+".service", "service %q does not exist", release.Service)
		} else if !service.Allows(release.Version) {
			add(path+".version", "service %q does not list version %q", release.Service, release.Version)
		}
		if decider := s.Flags.Flags[FlagOf(release.Service)]; decider == nil || !slices.Contains(decider.Variations, release.Version) {
			add(path, "flag %q does not have the variation %q", FlagOf(release.Service), release.Version)
		} else if service != nil && release.Version == service.Fallback && !stands {
			// What stands may be what this very plan made of it.
			add(path+".version", "is the fallback version, which has no other to be weighed against")
		}
		if other, found := planned[release.Service]; found {
			add(path, "service %q has the plan %q already", release.Service, other)
		}
		planned[release.Service] = name
	}
}

// crossCheckRoutes finds services that routes name and that do not exist, and routes at one place.
func (s *Setup) crossCheckRoutes(add adder) {
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
	for _, one := range s.match.stems {
		within := s.Routes[one.routes.from:one.routes.to]
		for i, route := range within {
			for _, other := range within[:i] {
				// Who gives items versions of their own may race with others who do, each by what it
				// knew: both changes are then taken, and the matcher's order rules.
				if method, both := overlap(route, other); both && (route.given == 0 || other.given == 0) {
					add("route."+route.Name, "%s %s is taken by route %q", method, route.Prefix, other.Name)
				}
			}
		}
	}
}

// overlap names a method that two routes both take.
func overlap(a, b *Route) (string, bool) {
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
