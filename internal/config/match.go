package config

import (
	"slices"
	"strings"
)

// routeMatcher finds routes by host and prefix. Its cost grows with the length of a path and the
// logarithm of a host's routes, so that hundreds of them cost a request nothing.
type routeMatcher struct {
	routes []*Route              // by host, prefix, and then who goes first
	groups []prefixGroup         // one for each prefix of a host, in the order of routes
	hosts  map[string]indexRange // of stems
}

// indexRange is a stretch of a list.
type indexRange struct{ from, to int }

// prefixGroup is all routes of one host and prefix.
type prefixGroup struct {
	prefix string
	routes indexRange
	parent int // the next shorter prefix of the same host that begins this one, -1 for none
}

// compareRoutes is the settled order of routes. Of two at one place, which only operators who race can
// bring about, the one with the higher given version goes first, then the first by name.
func compareRoutes(a, b *Route) int {
	if order := strings.Compare(a.Host, b.Host); order != 0 {
		return order
	}
	if order := strings.Compare(a.Prefix, b.Prefix); order != 0 {
		return order
	}
	if a.operatorVersion != b.operatorVersion {
		return map[bool]int{true: -1, false: 1}[a.operatorVersion > b.operatorVersion]
	}
	return strings.Compare(a.Name, b.Name)
}

// mergeRoutes joins two lists that are in order.
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

// newMatcher indexes routes that are in order.
func newMatcher(routes []*Route) routeMatcher {
	built := routeMatcher{routes: routes, groups: make([]prefixGroup, 0, len(routes)), hosts: make(map[string]indexRange, len(routes))}
	for i := 0; i < len(routes); {
		host, from := routes[i].Host, len(built.groups)
		for i < len(routes) && routes[i].Host == host {
			prefix, first := routes[i].Prefix, i
			for i < len(routes) && routes[i].Host == host && routes[i].Prefix == prefix {
				i++
			}
			// In this order, whatever begins a prefix stands before it, or begins what does.
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

// find gives the route with the longest prefix that begins a path and takes the method.
func (m *routeMatcher) find(host, path, method string) *Route {
	hostGroups, found := m.hosts[host]
	if !found {
		return nil
	}
	groups := m.groups[hostGroups.from:hostGroups.to]
	// Every prefix of the path either is the last one not after it, or begins that.
	insertion, exact := slices.BinarySearchFunc(groups, path, func(group prefixGroup, path string) int { return strings.Compare(group.prefix, path) })
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

// NormalizeHost is a host as routes have it: in lower case, without a port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.LastIndexByte(host, ']') < colon && strings.IndexByte(host, ':') == colon || colon >= 0 && strings.HasSuffix(host[:colon], "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Match finds the route for a host, path and method: the longest prefix that begins the path,
// first among the host's own routes, then among those of any host.
func (s *Snapshot) Match(host, path, method string) (*Route, bool) {
	if host != "" {
		if route := s.routeMatcher.find(NormalizeHost(host), path, method); route != nil {
			return route, true
		}
	}
	route := s.routeMatcher.find("", path, method)
	return route, route != nil
}
