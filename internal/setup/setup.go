// Package setup is the configuration that operators state: items as stored, checked
// against each other, and compiled for the planner.
package setup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
	"meadowhinge/schema"
)

// Class says whether a request may be run again.
type Class string

// The two classes of route.
const (
	Once       Class = "once"
	Repeatable Class = "repeatable"
)

// Service lists what may be called of a service, and by whom.
type Service struct {
	Versions []string `json:"versions"`
	Fallback string   `json:"fallback"`
	Callers  []string `json:"callers"`

	allowed map[string]bool
	callers map[string]bool
}

// Allows tells whether a version may be called at all.
func (s *Service) Allows(version string) bool { return s.allowed[version] }

// AllowsCaller tells whether a caller may call the service.
func (s *Service) AllowsCaller(caller string) bool { return s.callers[caller] }

// Route sends requests with a prefix and method to a service.
type Route struct {
	Name       string            `json:"-"`
	Service    string            `json:"service"`
	Prefix     string            `json:"prefix"`
	Methods    []string          `json:"methods"`
	Class      Class             `json:"class,omitempty"`
	HorizonIn  string            `json:"horizon"`
	Key        string            `json:"key"`
	Attributes map[string]string `json:"attributes"`
	PolicyName string            `json:"policy,omitempty"`

	Horizon time.Duration   `json:"-"`
	Policy  *policy.Program `json:"-"` // must hold for a call to be planned; nil for none
}

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
		return Repeatable
	}
	return Once
}

func (r *Route) takes(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, listed := range r.Methods {
		if listed == method {
			return true
		}
	}
	return false
}

// Release is a release plan: the share of a service's calls that a version should get.
type Release struct {
	Name    string  `json:"-"`
	Service string  `json:"service"`
	Version string  `json:"version"`
	Target  float64 `json:"target"`
	OverIn  string  `json:"over"`
	Pace    string  `json:"pace"`

	Over     time.Duration `json:"-"`
	Sequence uint64        `json:"-"` // in which it was stated
}

// Progress is how far a release plan has come; the release duty writes it with each step, so
// that whoever has the duty next goes on from there.
type Progress struct {
	Duty    uint64  `json:"duty"`    // the epoch of the release duty that wrote it; it never goes down
	Holder  string  `json:"holder"`  // the seat that had the duty
	Set     string  `json:"set"`     // the plan this is the progress of, as it was stated
	State   string  `json:"state"`   // trial, ramp, hold, done, back
	Reason  string  `json:"reason"`  // why it is so
	Share   float64 `json:"share"`   // set point now, in percent
	Weight  int     `json:"weight"`  // of the new version, as written to the flag
	Elapsed int64   `json:"elapsed"` // of the ramp, in nanoseconds
}

// Stop keeps every call from a version, until it is lifted. The brake states it where no plan
// can be turned back; an operator may state and lift it too.
type Stop struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Reason  string `json:"reason"`
	Lifted  bool   `json:"lifted"`
}

// Setup is one stable configuration, compiled; it never changes once made.
type Setup struct {
	Sequence uint64
	Services map[string]*Service
	Routes   []*Route // longest prefix first
	Flags    *flag.Set
	Releases map[string]*Release
	Progress map[string]*Progress // by release
	Stops    map[string]*Stop     // by StopName
	Guards   map[string][]string  // by service: the versions besides the fallback that its flag may give

	statements map[[2]string]uint64 // by service and version
	policies   map[string]*Policy
	programs   map[string]*policy.Program // by expression and attributes, taken over from setup to setup

	decoded map[*schema.Item]*Route // so that the next setup need not decode what stayed
}

// Match finds the route for a path and method.
func (s *Setup) Match(path, method string) (*Route, bool) {
	for _, route := range s.Routes {
		if strings.HasPrefix(path, route.Prefix) && route.takes(method) {
			return route, true
		}
	}
	return nil, false
}

// Statement tells whether the brake guards a version of a service, and under what: the sequence
// of the plan or stop that was stated of it last, 0 for none. What was learned of a version
// under another statement does not count under this one.
func (s *Setup) Statement(service, version string) (sequence uint64, guarded bool) {
	if !slices.Contains(s.Guards[service], version) {
		return 0, false
	}
	return s.statements[[2]string{service, version}], true
}

// StopOn gives the stop that stands against a version, if one does.
func (s *Setup) StopOn(service, version string) *Stop {
	if stop := s.Stops[StopName(service, version)]; stop != nil && !stop.Lifted {
		return stop
	}
	return nil
}

// FallbackOf names a service's fallback version.
func (s *Setup) FallbackOf(service string) string {
	if one := s.Services[service]; one != nil {
		return one.Fallback
	}
	return ""
}

// StopName is the name of the item that stops a version.
func StopName(service, version string) string { return service + "." + version }

// FlagOf names the flag that decides the version of a service.
func FlagOf(service string) string { return "release." + service }

// Key joins kind and name.
func Key(kind, name string) string { return kind + "/" + name }

// State is the items by key, tombstones included.
type State map[string]*schema.Item

// Purged is the item that says up to which sequence tombstones are gone. It travels like any
// other; only the seat with the admission duty writes it.
const Purged = "purged"

type purged struct {
	To uint64 `json:"to"`
}

// Purge makes the item under which tombstones up to a sequence go.
func Purge(to uint64) *schema.Item {
	return &schema.Item{Kind: Purged, Name: "tombstones", Body: []byte(fmt.Sprintf(`{"to":%d}`, to))}
}

// PurgedTo is up to which sequence tombstones are gone. Who has an older state than that may
// hold what was removed, and no difference would say so: it needs the whole state.
func (s State) PurgedTo() uint64 {
	if item := s[Key(Purged, "tombstones")]; item != nil {
		return purgedIn(item)
	}
	return 0
}

func purgedIn(item *schema.Item) uint64 {
	held := purged{}
	if strict(item.Body, &held) != nil {
		return 0
	}
	return held.To
}

// Tombstones counts the removed items that the state still knows of.
func (s State) Tombstones() int {
	count := 0
	for _, item := range s {
		if item.Deleted {
			count++
		}
	}
	return count
}

// After is what a copy lacks that has the state of a sequence: the newer items, or the whole.
func (s State) After(sequence uint64) (items []*schema.Item, whole bool) {
	whole = sequence == 0 || sequence < s.PurgedTo()
	for _, item := range s.Items() {
		if whole || item.Version.GetSequence() > sequence {
			items = append(items, item)
		}
	}
	return items, whole
}

// Taking gives the state that a copy has once it took what After gave: merged, or in its place.
func (s State) Taking(items []*schema.Item, whole bool) State {
	if whole {
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
		if held, found := merged[key]; !found || Newer(item.Version, held.Version) {
			merged[key] = item
		}
	}
	for _, item := range items {
		if item.Kind == Purged {
			to := purgedIn(item)
			maps.DeleteFunc(merged, func(_ string, one *schema.Item) bool { return one.Deleted && one.Version.GetSequence() <= to })
		}
	}
	return merged
}

// Newer orders versions by epoch, then sequence.
func Newer(a, b *schema.Version) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
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

// decodeByKind turns an item's body into its part of the setup.
var decodeByKind = map[string]func(target *Setup, item *schema.Item) error{
	"service": func(target *Setup, item *schema.Item) error {
		service := &Service{}
		if err := strict(item.Body, service); err != nil {
			return err
		}
		service.allowed, service.callers = set(service.Versions), set(service.Callers)
		target.Services[item.Name] = service
		return nil
	},
	"route": func(target *Setup, item *schema.Item) error {
		if route := target.decoded[item]; route != nil {
			target.Routes = append(target.Routes, route)
			return nil
		}
		route := &Route{Name: item.Name}
		if err := strict(item.Body, route); err != nil {
			return err
		}
		horizon, err := time.ParseDuration(route.HorizonIn)
		route.Horizon = horizon
		target.Routes = append(target.Routes, route)
		target.decoded[item] = route
		return err
	},
	"flag": func(target *Setup, item *schema.Item) error {
		decoded := &flag.Flag{}
		if err := strict(item.Body, decoded); err != nil {
			return err
		}
		decoded.Key = item.Name
		target.Flags.Flags[item.Name] = decoded
		return nil
	},
	"segment": func(target *Setup, item *schema.Item) error {
		decoded := &flag.Segment{}
		if err := strict(item.Body, decoded); err != nil {
			return err
		}
		decoded.Key = item.Name
		target.Flags.Segments[item.Name] = decoded
		return nil
	},
	"release": func(target *Setup, item *schema.Item) error {
		decoded := &Release{Name: item.Name, Sequence: item.Version.GetSequence()}
		if err := strict(item.Body, decoded); err != nil {
			return err
		}
		over, err := time.ParseDuration(decoded.OverIn)
		decoded.Over = over
		target.Releases[item.Name] = decoded
		target.state(decoded.Service, decoded.Version, item)
		return err
	},
	"stop": func(target *Setup, item *schema.Item) error {
		decoded := &Stop{}
		if err := strict(item.Body, decoded); err != nil {
			return err
		}
		target.Stops[item.Name] = decoded
		target.state(decoded.Service, decoded.Version, item)
		return nil
	},
	"policy": func(target *Setup, item *schema.Item) error {
		decoded := &Policy{}
		if err := strict(item.Body, decoded); err != nil {
			return err
		}
		target.policies[item.Name] = decoded
		return nil
	},
	Purged: func(_ *Setup, item *schema.Item) error { return strict(item.Body, &purged{}) },
	"progress": func(target *Setup, item *schema.Item) error {
		decoded := &Progress{}
		if err := strict(item.Body, decoded); err != nil {
			return err
		}
		target.Progress[item.Name] = decoded
		return nil
	},
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

// Compile makes a setup of the state and lists every fault, each at its path.
func Compile(state State, sequence uint64) (*Setup, []*schema.Fault) {
	return CompileAfter(nil, state, sequence)
}

// CompileAfter is Compile with the routes of an earlier setup taken over where their items
// stayed. Flags and segments are few and refer to each other, so they are made anew.
func CompileAfter(before *Setup, state State, sequence uint64) (*Setup, []*schema.Fault) {
	made := &Setup{
		decoded:  map[*schema.Item]*Route{},
		Sequence: sequence,
		Services: map[string]*Service{},
		Flags:    &flag.Set{Flags: map[string]*flag.Flag{}, Segments: map[string]*flag.Segment{}},
		Releases: map[string]*Release{},
		Progress: map[string]*Progress{},
		Stops:    map[string]*Stop{},
		Guards:   map[string][]string{},

		statements: map[[2]string]uint64{},
		policies:   map[string]*Policy{},
		programs:   map[string]*policy.Program{},
	}
	var faults []*schema.Fault
	add := func(path, format string, values ...any) {
		faults = append(faults, &schema.Fault{Path: path, Reason: fmt.Sprintf(format, values...)})
	}
	for _, item := range state.Items() {
		if item.Deleted {
			continue
		}
		if before != nil && before.decoded[item] != nil {
			made.decoded[item] = before.decoded[item]
		}
		decode, known := decodeByKind[item.Kind]
		if !known {
			add(item.Kind+"."+item.Name, "kind %q does not exist", item.Kind)
			continue
		}
		if err := decode(made, item); err != nil {
			add(item.Kind+"."+item.Name, "%v", err)
		}
	}
	for _, fault := range made.Flags.Compile() {
		add(fault.Path, "%s", fault.Reason)
	}
	made.crossCheck(add)
	made.bindPolicies(before, add)
	for _, name := range names(made.Services) {
		if decider := made.Flags.Flags[FlagOf(name)]; decider != nil {
			for _, version := range decider.Reachable() {
				if version != made.Services[name].Fallback {
					made.Guards[name] = append(made.Guards[name], version)
				}
			}
		}
	}
	sort.SliceStable(made.Routes, func(i, j int) bool { return len(made.Routes[i].Prefix) > len(made.Routes[j].Prefix) })
	return made, faults
}

// bindPolicies compiles each policy once for each set of attributes that routes give it, and
// takes over what the setup before had compiled.
func (s *Setup) bindPolicies(before *Setup, add func(path, format string, values ...any)) {
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
func (s *Setup) crossCheck(add func(path, format string, values ...any)) {
	for _, name := range names(s.Services) {
		service := s.Services[name]
		if !service.Allows(service.Fallback) {
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
		if service, decides := strings.CutPrefix(key, FlagOf("")); decides && s.Services[service] == nil {
			add("flag."+key, "service %q does not exist", service)
		}
	}
	taken := map[string]string{}
	for _, route := range s.Routes {
		if s.Services[route.Service] == nil {
			add("route."+route.Name+".service", "service %q does not exist", route.Service)
		}
		if route.Horizon <= 0 {
			add("route."+route.Name+".horizon", "must be above zero")
		}
		methods := route.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, method := range methods {
			place := method + " " + route.Prefix
			if other, found := taken[place]; found {
				add("route."+route.Name, "%s is taken by route %q", place, other)
			}
			taken[place] = route.Name
		}
	}
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
		service := s.Services[release.Service]
		if service == nil {
			add(path+".service", "service %q does not exist", release.Service)
		} else if !service.Allows(release.Version) {
			add(path+".version", "service %q does not list version %q", release.Service, release.Version)
		}
		if release.Over <= 0 {
			add(path+".over", "must be a time above zero")
		}
		if decider := s.Flags.Flags[FlagOf(release.Service)]; decider == nil || !slices.Contains(decider.Variations, release.Version) {
			add(path, "flag %q does not have the variation %q", FlagOf(release.Service), release.Version)
		} else if service != nil && release.Version == service.Fallback {
			add(path+".version", "is the fallback version, which has no other to be weighed against")
		}
		if other, found := planned[release.Service]; found {
			add(path, "service %q has the plan %q already", release.Service, other)
		}
		planned[release.Service] = name
	}
}

// DutyOf is the release duty's epoch in a progress item.
func DutyOf(item *schema.Item) uint64 {
	progress := &Progress{}
	if strict(item.Body, progress) != nil {
		return 0
	}
	return progress.Duty
}
