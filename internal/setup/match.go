package setup

import (
	"slices"
	"strings"
)

// matcher finds routes by host and prefix. Its cost grows with the length of a path and the
// logarithm of a host's routes, so that hundreds of them cost a request nothing.
type matcher struct {
	routes []*Route        // by host, prefix, and then who goes first
	stems  []stem          // one for each prefix of a host, in the order of routes
	hosts  map[string]span // of stems
}

// span is a stretch of a list.
type span struct{ from, to int }

// stem is all routes of one host and prefix.
type stem struct {
	prefix string
	routes span
	parent int // the next shorter prefix of the same host that begins this one, -1 for none
}

// ordered is the settled order of routes. Of two at one place, which only operators who race can
// bring about, the one with the higher given version goes first, then the first by name.
func ordered(a, b *Route) int {
	if order := strings.Compare(a.Host, b.Host); order != 0 {
		return order
	}
	if order := strings.Compare(a.Prefix, b.Prefix); order != 0 {
		return order
	}
	if a.given != b.given {
		return map[bool]int{true: -1, false: 1}[a.given > b.given]
	}
	return strings.Compare(a.Name, b.Name)
}

// merged joins two lists that are in order.
func merged(a, b []*Route) []*Route {
	if len(b) == 0 {
		return a
	}
	all := make([]*Route, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if ordered(a[0], b[0]) <= 0 {
			all, a = append(all, a[0]), a[1:]
		} else {
			all, b = append(all, b[0]), b[1:]
		}
	}
	return append(append(all, a...), b...)
}

// newMatcher indexes routes that are in order.
func newMatcher(routes []*Route) matcher {
	made := matcher{routes: routes, stems: make([]stem, 0, len(routes)), hosts: make(map[string]span, len(routes))}
	for i := 0; i < len(routes); {
		host, from := routes[i].Host, len(made.stems)
		for i < len(routes) && routes[i].Host == host {
			prefix, first := routes[i].Prefix, i
			for i < len(routes) && routes[i].Host == host && routes[i].Prefix == prefix {
				i++
			}
			// In this order, whatever begins a prefix stands before it, or begins what does.
			parent := len(made.stems) - 1
			for parent >= from && !strings.HasPrefix(prefix, made.stems[parent].prefix) {
				parent = made.stems[parent].parent
			}
			if parent < from {
				parent = -1
			}
			made.stems = append(made.stems, stem{prefix: prefix, routes: span{first, i}, parent: parent})
		}
		made.hosts[host] = span{from, len(made.stems)}
	}
	return made
}

// find gives the route with the longest prefix that begins a path and takes the method.
func (m *matcher) find(host, path, method string) *Route {
	within, found := m.hosts[host]
	if !found {
		return nil
	}
	stems := m.stems[within.from:within.to]
	// Every prefix of the path either is the last one not after it, or begins that.
	after, exact := slices.BinarySearchFunc(stems, path, func(one stem, path string) int { return strings.Compare(one.prefix, path) })
	at := within.from + after
	if !exact {
		at--
	}
	for at >= within.from {
		one := &m.stems[at]
		if strings.HasPrefix(path, one.prefix) {
			for _, route := range m.routes[one.routes.from:one.routes.to] {
				if route.takes(method) {
					return route
				}
			}
		}
		at = one.parent
	}
	return nil
}

// HostOf is a host as routes have it: in lower case, without a port.
func HostOf(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && strings.LastIndexByte(host, ']') < at && strings.IndexByte(host, ':') == at || at >= 0 && strings.HasSuffix(host[:at], "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Match finds the route for a host, path and method: the longest prefix that begins the path,
// first among the host's own routes, then among those of any host.
func (s *Setup) Match(host, path, method string) (*Route, bool) {
	if host != "" {
		if route := s.match.find(HostOf(host), path, method); route != nil {
			return route, true
		}
	}
	route := s.match.find("", path, method)
	return route, route != nil
}
