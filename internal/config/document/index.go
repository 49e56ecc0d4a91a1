package document

import (
	"net"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index looks up the entries of one document.
type Index struct {
	doc Document
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]*Route
	backends     map[string]*Backend
	teamsByKey   map[string]*Team
}

// NewIndex returns an index of doc, which must not be modified afterwards.
func NewIndex(doc Document) *Index {
	i := &Index{
		doc:          doc,
		routesByHost: make(map[string][]*Route),
		backends:     make(map[string]*Backend, len(doc.Backends)),
		teamsByKey:   make(map[string]*Team),
	}
	for n := range doc.Routes {
		route := &doc.Routes[n]
		host := normalizeHost(route.Host)
		i.routesByHost[host] = append(i.routesByHost[host], route)
	}
	for _, routes := range i.routesByHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	for n := range doc.Backends {
		i.backends[doc.Backends[n].Name] = &doc.Backends[n]
	}
	for n := range doc.Teams {
		for _, key := range doc.Teams[n].Keys {
			i.teamsByKey[key] = &doc.Teams[n]
		}
	}
	return i
}

// Version returns the version of the document.
func (i *Index) Version() int64 {
	return i.doc.Version
}

// Document returns the document, which must not be modified.
func (i *Index) Document() Document {
	return i.doc
}

// Limits returns the limits for the requests of callers.
func (i *Index) Limits() Limits {
	return i.doc.Limits
}

// Routes returns all routes.
func (i *Index) Routes() []Route {
	return i.doc.Routes
}

// Backends returns all back ends.
func (i *Index) Backends() []Backend {
	return i.doc.Backends
}

// Backend returns the named back end, or nil if there is none.
func (i *Index) Backend(name string) *Backend {
	return i.backends[name]
}

// Route returns the route of the host with the longest prefix of path.
func (i *Index) Route(host, path string) (route *Route, found bool) {
	for _, candidate := range i.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of the route must include a team's key.
func (i *Index) NeedsKey(route *Route) bool {
	return len(i.doc.Teams) > 0 && !route.Public
}

// Team returns the team that the key belongs to.
func (i *Index) Team(key string) (team *Team, known bool) {
	team, known = i.teamsByKey[key]
	return team, known
}

// PickBackend selects a back end by a hash of the request ID, in proportion to
// the weights. The same request ID always selects the same back end.
func (r *Route) PickBackend(requestID string) string {
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Backend
	}
	position := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, backend := range r.Backends {
		position -= max(backend.Weight, 0)
		if position < 0 {
			return backend.Backend
		}
	}
	return r.Backends[len(r.Backends)-1].Backend
}

// normalizeHost removes the port of a host and converts it to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
