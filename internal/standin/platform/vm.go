package platform

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
)

// vms is the lagging list of VMs. Each viewer can be given its own addresses for
// the VMs, so that a fault proxy can disturb the connections between any two VMs
// separately.
type vms struct {
	mu      sync.Mutex
	current map[string]vmlist.VM
	views   map[string]map[string]string
	history history[map[string]vmlist.VM]
}

func (v *vms) init(lag clock.Millis, clk clock.Clock) {
	v.current = make(map[string]vmlist.VM)
	v.views = make(map[string]map[string]string)
	v.history.lag = lag
	v.history.clock = clk
}

func (v *vms) put(r *http.Request, vm vmlist.VM) answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	vm.ID = r.PathValue("id")
	v.current[vm.ID] = vm
	v.history.add(maps.Clone(v.current))
	return ok(struct{}{})
}

func (v *vms) remove(r *http.Request, _ struct{}) answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.current, r.PathValue("id"))
	v.history.add(maps.Clone(v.current))
	return ok(struct{}{})
}

// putView replaces the addresses that one viewer sees, by VM ID.
func (v *vms) putView(r *http.Request, addresses map[string]string) answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[r.PathValue("viewer")] = addresses
	return ok(struct{}{})
}

func (v *vms) list(c call) answer {
	listed := v.history.read()
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.views[viewerOf(c.Context())]
	result := make([]vmlist.VM, 0, len(listed))
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		vm := listed[id]
		if address, ok := view[id]; ok {
			vm.Address = address
		}
		result = append(result, vm)
	}
	return ok(result)
}

type viewerKey struct{}

func viewerOf(ctx context.Context) string {
	viewer, _ := ctx.Value(viewerKey{}).(string)
	return viewer
}

// withViewer strips the path prefix /as/<viewer> from a request and stores the
// viewer in its context.
func withViewer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rest, found := strings.CutPrefix(r.URL.Path, "/as/")
		viewer, path, complete := strings.Cut(rest, "/")
		if !found || !complete {
			next.ServeHTTP(w, r)
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), viewerKey{}, viewer))
		target := *r.URL
		target.Path = "/" + path
		target.RawPath = ""
		r.URL = &target
		next.ServeHTTP(w, r)
	})
}
