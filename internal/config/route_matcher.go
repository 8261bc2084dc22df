package config

import (
	"cmp"
	"slices"
	"strings"
)

// routeMatcher is an index of routes by host and path prefix. A lookup does a binary search over the prefixes of
// the host, and then one step for each prefix that could match the path. A matcher never changes once it is made.
type routeMatcher struct {
	routes []*Route              // ordered by compareRoutes
	groups []prefixGroup         // one group for each host and prefix, in the order of routes
	hosts  map[string]indexRange // range in groups, by host; "" is the key of routes for any host
}

// indexRange is a range of indexes in a list: from is included, to is not.
type indexRange struct{ from, to int }

// prefixGroup has the routes with the same host and prefix.
type prefixGroup struct {
	prefix string
	routes indexRange // range in routeMatcher.routes
	parent int        // index of the group of the same host with the longest proper prefix of this group's prefix, -1 for none
}

// compareRoutes orders routes by host, then by prefix, and defines which of two routes with the same host, prefix
// and method is matched. Such routes are valid only if both have operator versions, from operators that wrote at
// the same time. The one with the higher operator version is then matched; with equal versions, the first by name.
func compareRoutes(a, b *Route) int {
	if order := strings.Compare(a.Host, b.Host); order != 0 {
		return order
	}
	if order := strings.Compare(a.Prefix, b.Prefix); order != 0 {
		return order
	}
	if a.operatorVersion != b.operatorVersion {
		return cmp.Compare(b.operatorVersion, a.operatorVersion)
	}
	return strings.Compare(a.Name, b.Name)
}

// mergeRoutes merges two lists that are ordered by compareRoutes. It may return one of them.
func mergeRoutes(a, b []*Route) []*Route {
	if len(b) == 0 {
		return a
	}
	all := make([]*Route, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compareRoutes(a[0], b[0]) <= 0 {
			all, a = append(all, a[0]), a[1:]
		} else {
			all, b = append(all, b[0]), b[1:]
		}
	}
	return append(append(all, a...), b...)
}

// newMatcher returns an index of routes that are ordered by compareRoutes. It keeps the list: a route that later
// replaces another in the list, with the same host and prefix, is matched in its place.
func newMatcher(routes []*Route) routeMatcher {
	built := routeMatcher{
		routes: routes,
		groups: make([]prefixGroup, 0, len(routes)),
		hosts:  make(map[string]indexRange, len(routes)),
	}
	for i := 0; i < len(routes); {
		host, from := routes[i].Host, len(built.groups)
		for i < len(routes) && routes[i].Host == host {
			prefix, first := routes[i].Prefix, i
			for i < len(routes) && routes[i].Host == host && routes[i].Prefix == prefix {
				i++
			}
			// The groups are in lexical order, so any proper prefix of this prefix is that of the last group
			// so far, or a prefix of it. The parent is therefore the last group or one of its ancestors.
			parent := len(built.groups) - 1
			for parent >= from && !strings.HasPrefix(prefix, built.groups[parent].prefix) {
				parent = built.groups[parent].parent
			}
			if parent < from {
				parent = -1
			}
			built.groups = append(built.groups, prefixGroup{prefix: prefix, routes: indexRange{first, i}, parent: parent})
		}
		built.hosts[host] = indexRange{from, len(built.groups)}
	}
	return built
}

// find returns the route of a host that matches the path and the method, nil for none. Of several, the one with the
// longest prefix is returned.
func (m *routeMatcher) find(host, path, method string) *Route {
	hostGroups, found := m.hosts[host]
	if !found {
		return nil
	}
	groups := m.groups[hostGroups.from:hostGroups.to]
	// Every group whose prefix matches the path is either the last group that is not ordered after the path, or an
	// ancestor of that group. Not all of these match, so each is checked.
	insertion, exact := slices.BinarySearchFunc(groups, path, comparePrefix)
	current := hostGroups.from + insertion
	if !exact {
		current--
	}
	for current >= hostGroups.from {
		group := &m.groups[current]
		if strings.HasPrefix(path, group.prefix) {
			for _, route := range m.routes[group.routes.from:group.routes.to] {
				if route.matchesMethod(method) {
					return route
				}
			}
		}
		current = group.parent
	}
	return nil
}

func comparePrefix(group prefixGroup, path string) int { return strings.Compare(group.prefix, path) }

// NormalizeHost returns a host in lower case and without its port, the form in which routes are compared with it.
func NormalizeHost(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 {
		return strings.ToLower(host)
	}
	// An IPv6 address without brackets has several colons, none of which begins a port.
	isOnlyColon := strings.IndexByte(host, ':') == colon && strings.LastIndexByte(host, ']') < colon
	followsBracket := strings.HasSuffix(host[:colon], "]")
	if isOnlyColon || followsBracket {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Match returns the route for a request, and false if there is none. Routes for the request's host take precedence
// over routes for any host. Of the routes for the same host that match the path and the method, the one with the longest
// prefix is returned.
func (s *Snapshot) Match(host, path, method string) (*Route, bool) {
	if host != "" {
		if route := s.routeMatcher.find(NormalizeHost(host), path, method); route != nil {
			return route, true
		}
	}
	route := s.routeMatcher.find("", path, method)
	return route, route != nil
}
