package config

import (
	"cmp"
	"slices"
	"strings"
)

// routeMatcher finds routes by host and prefix. A lookup costs the logarithm of the host's number of
// prefixes, and a step for each of them that begins the path. It never changes once made.
type routeMatcher struct {
	routes []*Route              // ordered by compareRoutes
	groups []prefixGroup         // one for each prefix of a host, in the order of routes
	hosts  map[string]indexRange // the groups of each host
}

// indexRange is the part of a list from index from up to, but without, index to.
type indexRange struct{ from, to int }

// prefixGroup is all routes of one host and prefix.
type prefixGroup struct {
	prefix string
	routes indexRange
	parent int // index of the group with the longest prefix of the same host that begins this one's, -1 for none
}

// compareRoutes orders routes by host, then by prefix. Two routes with the same host, prefix and method
// exist only if operators with versions of their own race; the one with the higher operator version then
// goes first, then the first by name.
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

// mergeRoutes merges two ordered lists into one.
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

// newMatcher indexes ordered routes. It keeps the list, so a route put in its place is matched instead.
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
			// In this order, a prefix that begins this one is the last group so far, or begins that group's
			// prefix: so it is among the last group and its parents.
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

// find gives the route with the longest prefix that begins the path and that takes the method, nil for none.
func (m *routeMatcher) find(host, path, method string) *Route {
	hostGroups, found := m.hosts[host]
	if !found {
		return nil
	}
	groups := m.groups[hostGroups.from:hostGroups.to]
	// Every prefix that begins the path is the last group not ordered after the path, or one of its parents.
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

// NormalizeHost gives a host as routes have it: in lower case, without a port.
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

// Match finds the route for a request's host, path and method: the one with the longest prefix that begins
// the path, among the host's own routes first, then among those for any host.
func (s *Snapshot) Match(host, path, method string) (*Route, bool) {
	if host != "" {
		if route := s.routeMatcher.find(NormalizeHost(host), path, method); route != nil {
			return route, true
		}
	}
	route := s.routeMatcher.find("", path, method)
	return route, route != nil
}
