package config

import (
	"fmt"
	"slices"
	"strings"
)

// checkReferences reports the faults that no item shows by itself: names that do not exist, versions that a
// service does not list, and items that contradict each other.
func (s *Snapshot) checkReferences(add faultReporter) {
	s.checkServices(add)
	s.checkVersionFlagServices(add)
	s.checkRouteServices(add)
	s.checkOverlappingRoutes(add)
	s.checkStops(add)
	s.checkReleases(add)
}

// checkServices reports fallbacks, and variations of version flags, that are no version of their service.
func (s *Snapshot) checkServices(add faultReporter) {
	for _, name := range sortedKeys(s.Services) {
		service := s.Services[name]
		// A service without versions, listed or discovered, has no worker so far: that is no fault.
		hasVersions := service.Versions != nil || service.Fallback != ""
		if hasVersions && !service.AllowsVersion(service.Fallback) {
			add(itemPath(kindService, name)+".fallback", "version %q is not in versions", service.Fallback)
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
}

// checkVersionFlagServices reports version flags of services that do not exist.
func (s *Snapshot) checkVersionFlagServices(add faultReporter) {
	for _, key := range sortedKeys(s.Flags.Flags) {
		service, isVersionFlag := strings.CutPrefix(key, VersionFlagKey(""))
		// What the rollout controller wrote of a service outlasts it: an operator may remove the service and
		// add it again.
		if isVersionFlag && s.Services[service] == nil && s.DiscoveredVersions[service] == nil {
			add(itemPath(kindFlag, key), "service %q does not exist", service)
		}
	}
}

// checkRouteServices reports services that routes name and that do not exist.
func (s *Snapshot) checkRouteServices(add faultReporter) {
	for _, route := range s.Routes {
		switch {
		case len(route.Split) > 0:
		case route.Service == "":
			add(itemPath(kindRoute, route.Name)+".service", "neither a service nor a split is named")
		case s.Services[route.Service] == nil:
			add(itemPath(kindRoute, route.Name)+".service", "service %q does not exist", route.Service)
		}
		for i, weighted := range route.Split {
			if s.Services[weighted.Service] == nil {
				add(fmt.Sprintf("%s.split[%d].service", itemPath(kindRoute, route.Name), i), "service %q does not exist", weighted.Service)
			}
		}
	}
}

// checkOverlappingRoutes reports routes with the same host and prefix that take the same method.
func (s *Snapshot) checkOverlappingRoutes(add faultReporter) {
	for _, group := range s.routeMatcher.groups {
		routes := s.Routes[group.routes.from:group.routes.to]
		for i, route := range routes {
			for _, other := range routes[:i] {
				// Operators that give items versions of their own may race, each unaware of the other's
				// change: both changes are then accepted, and compareRoutes says which route goes first.
				bothVersioned := route.operatorVersion != 0 && other.operatorVersion != 0
				if method, overlaps := overlappingMethod(route, other); overlaps && !bothVersioned {
					add(itemPath(kindRoute, route.Name), "%s %s is taken by route %q", method, route.Prefix, other.Name)
				}
			}
		}
	}
}

// overlappingMethod names a method that both routes list; "*" if both take any method.
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

// checkStops reports stops of versions that do not exist or that must not be stopped.
func (s *Snapshot) checkStops(add faultReporter) {
	for _, name := range sortedKeys(s.Stops) {
		stop, path := s.Stops[name], itemPath(kindStop, name)
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
}

// checkReleases reports release plans of versions that cannot be rolled out, and second plans of a service.
func (s *Snapshot) checkReleases(add faultReporter) {
	planByService := map[string]string{}
	for _, name := range sortedKeys(s.Releases) {
		release := s.Releases[name]
		hasDiscovered := s.DiscoveredVersions[release.Service] != nil
		// The plan of a service that was removed waits for the service to be added again.
		if s.Services[release.Service] == nil && hasDiscovered {
			continue
		}
		s.checkReleaseVersion(release, hasDiscovered, add)
		if other, found := planByService[release.Service]; found {
			add(itemPath(kindRelease, name), "service %q has the plan %q already", release.Service, other)
		}
		planByService[release.Service] = name
	}
}

// checkReleaseVersion reports a plan whose version its service or the service's flag does not have.
func (s *Snapshot) checkReleaseVersion(release *Release, hasDiscovered bool, add faultReporter) {
	path := itemPath(kindRelease, release.Name)
	service := s.Services[release.Service]
	if service == nil {
		add(path+".service", "service %q does not exist", release.Service)
	} else if !service.AllowsVersion(release.Version) {
		add(path+".version", "service %q does not list version %q", release.Service, release.Version)
	}
	flagKey := VersionFlagKey(release.Service)
	decider := s.Flags.Flags[flagKey]
	switch {
	case decider == nil || !slices.Contains(decider.Variations, release.Version):
		add(path, "flag %q does not have the variation %q", flagKey, release.Version)
	case service != nil && release.Version == service.Fallback && !hasDiscovered:
		// Where versions are discovered, this very plan may have made its version the fallback.
		add(path+".version", "is the fallback version, which has no other to be weighed against")
	}
}
