package config

import (
	"fmt"
	"slices"
	"strings"
)

// checkReferences reports the faults between items: references to items that do not exist, versions that a service
// does not list, and items that contradict each other.
func (s *Snapshot) checkReferences(add faultReporter) {
	s.checkServices(add)
	s.checkVersionFlagServices(add)
	s.checkRouteServices(add)
	s.checkOverlappingRoutes(add)
	s.checkStops(add)
	s.checkReleases(add)
}

// checkServices reports fallback versions, and variations of version flags, that their service does not list.
func (s *Snapshot) checkServices(add faultReporter) {
	for _, name := range sortedKeys(s.Services) {
		service := s.Services[name]
		// A service with neither listed nor discovered versions has had no worker yet. That is no fault.
		hasVersions := service.Versions != nil || service.Fallback != ""
		if hasVersions && !service.AllowsVersion(service.Fallback) {
			add(itemPath(kindService, name)+".fallback", "version %q is not in versions", service.Fallback)
		}
		versionFlag, found := s.Flags.Flags[VersionFlagKey(name)]
		if !found {
			continue
		}
		for i, version := range versionFlag.Variations {
			if !service.AllowsVersion(version) {
				add(fmt.Sprintf("flag.%s.variations[%d]", versionFlag.Key, i), "service %q does not list version %q", name, version)
			}
		}
	}
}

// checkVersionFlagServices reports version flags whose service does not exist.
func (s *Snapshot) checkVersionFlagServices(add faultReporter) {
	for _, key := range sortedKeys(s.Flags.Flags) {
		service, isVersionFlag := strings.CutPrefix(key, VersionFlagKey(""))
		// The discovered versions that the rollout controller wrote remain when an operator removes the service,
		// who may add it again. The flag of such a service is no fault.
		if isVersionFlag && s.Services[service] == nil && s.DiscoveredVersions[service] == nil {
			add(itemPath(kindFlag, key), "service %q does not exist", service)
		}
	}
}

// checkRouteServices reports routes that name no service, or a service that does not exist.
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

// checkOverlappingRoutes reports routes with the same host and prefix that match the same method.
func (s *Snapshot) checkOverlappingRoutes(add faultReporter) {
	for _, group := range s.routeMatcher.groups {
		routes := s.Routes[group.routes.from:group.routes.to]
		for i, route := range routes {
			for _, other := range routes[:i] {
				// Operators that give items versions of their own may write at the same time, each unaware of
				// the other's change. Both changes are then accepted, and compareRoutes decides which route is
				// matched.
				bothVersioned := route.operatorVersion != 0 && other.operatorVersion != 0
				if method, overlaps := overlappingMethod(route, other); overlaps && !bothVersioned {
					add(itemPath(kindRoute, route.Name), "method %s of prefix %q is matched by route %q already", method, route.Prefix, other.Name)
				}
			}
		}
	}
}

// overlappingMethod returns a method that both routes list, or "*" if neither lists any. A route that lists methods
// does not overlap with one that matches any method.
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

// checkStops reports stops with a wrong name, and stops of a version that does not exist or that is the fallback.
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
			add(path+".version", "version %q is the fallback, no other version can take its calls", stop.Version)
		}
	}
}

// checkReleases reports release plans of versions that cannot be rolled out, and plans of a service that already has
// another plan.
func (s *Snapshot) checkReleases(add faultReporter) {
	planByService := map[string]string{}
	for _, name := range sortedKeys(s.Releases) {
		release := s.Releases[name]
		hasDiscovered := s.DiscoveredVersions[release.Service] != nil
		// The plan of a removed service is no fault. It stays, and has an effect once the service is added again.
		if s.Services[release.Service] == nil && hasDiscovered {
			continue
		}
		s.checkReleaseVersion(release, hasDiscovered, add)
		if other, found := planByService[release.Service]; found {
			add(itemPath(kindRelease, name), "service %q already has the release plan %q", release.Service, other)
		}
		planByService[release.Service] = name
	}
}

// checkReleaseVersion reports a plan whose service does not exist, whose version is not listed by the service or is
// no variation of the service's version flag, or whose version is the fallback that an operator listed.
func (s *Snapshot) checkReleaseVersion(release *Release, hasDiscovered bool, add faultReporter) {
	path := itemPath(kindRelease, release.Name)
	service := s.Services[release.Service]
	if service == nil {
		add(path+".service", "service %q does not exist", release.Service)
	} else if !service.AllowsVersion(release.Version) {
		add(path+".version", "service %q does not list version %q", release.Service, release.Version)
	}
	flagKey := VersionFlagKey(release.Service)
	versionFlag := s.Flags.Flags[flagKey]
	switch {
	case versionFlag == nil || !slices.Contains(versionFlag.Variations, release.Version):
		add(path, "flag %q has no variation %q", flagKey, release.Version)
	case service != nil && release.Version == service.Fallback && !hasDiscovered:
		// Where versions are discovered, the plan itself may have made its version the fallback when it completed.
		add(path+".version", "version %q is the fallback, there is no other version to compare it with", release.Version)
	}
}
