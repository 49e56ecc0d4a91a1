package document

import (
	"net"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index answers questions about one document.
type Index struct {
	doc      Document
	hosts    map[string][]*Route
	backends map[string]*Backend
	keys     map[string]*Team
}

// NewIndex returns the index of a document, which must not change afterwards.
func NewIndex(doc Document) *Index {
	i := &Index{
		doc:      doc,
		hosts:    make(map[string][]*Route),
		backends: make(map[string]*Backend, len(doc.Backends)),
		keys:     make(map[string]*Team),
	}
	for n := range doc.Routes {
		route := &doc.Routes[n]
		host := normalHost(route.Host)
		i.hosts[host] = append(i.hosts[host], route)
	}
	for _, routes := range i.hosts {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	for n := range doc.Backends {
		i.backends[doc.Backends[n].Name] = &doc.Backends[n]
	}
	for n := range doc.Teams {
		for _, key := range doc.Teams[n].Keys {
			i.keys[key] = &doc.Teams[n]
		}
	}
	return i
}

// Version returns the version of the document.
func (i *Index) Version() int64 {
	return i.doc.Version
}

// Limits returns the limits on what callers may send.
func (i *Index) Limits() Limits {
	return i.doc.Limits
}

// Backends returns all back ends.
func (i *Index) Backends() []Backend {
	return i.doc.Backends
}

// Backend returns the back end of that name, nil if there is none.
func (i *Index) Backend(name string) *Backend {
	return i.backends[name]
}

// Route returns the route of the host with the longest prefix that begins the
// path.
func (i *Index) Route(host, path string) (route *Route, found bool) {
	for _, candidate := range i.hosts[normalHost(host)] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of the route must carry the key of a team.
func (i *Index) NeedsKey(route *Route) bool {
	return len(i.doc.Teams) > 0 && !route.Public
}

// Team returns the team that holds the key.
func (i *Index) Team(key string) (team *Team, known bool) {
	team, known = i.keys[key]
	return team, known
}

// PickBackend chooses the back end of a request by the weights of the route. The same
// request always gets the same back end.
func (r *Route) PickBackend(requestID string) string {
	total := 0
	for _, share := range r.Backends {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Backend
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, share := range r.Backends {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Backend
		}
	}
	return r.Backends[len(r.Backends)-1].Backend
}

// normalHost removes the port and the case of a host.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
