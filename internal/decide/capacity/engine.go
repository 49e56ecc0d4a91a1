package capacity

import (
	"math"
	"slices"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// loadModel orders a model change for at most one endpoint at a time whose model
// differs from that of its back end. Cheap endpoints go first, and the others must
// be enough for the top tiers.
func (r *round) loadModel(p *pool) {
	if r.remainingLoads <= 0 || p.backend.Type != entity.Model {
		return
	}
	var chosen *Endpoint
	serving := 0
	for i, e := range p.usable {
		if e.Loading {
			return
		}
		if e.Starting {
			continue
		}
		serving++
		if e.Model == "" || (e.Model == p.backend.Model && e.Version == p.backend.Version) {
			continue
		}
		if chosen == nil || (e.Market == entity.Cheap && chosen.Market == entity.Firm) {
			chosen = &p.usable[i]
		}
	}
	if chosen == nil || (serving > 1 && serving-1 < p.currentTarget.topTiers) {
		return
	}
	r.remainingLoads--
	r.orders = append(r.orders, order.Order{
		Kind: order.LoadModel, Backend: p.backend.Name, FailureDomain: chosen.FailureDomain,
		Market: chosen.Market, EndpointID: chosen.ID, Model: p.backend.Model, Version: p.backend.Version,
	})
}

// loadAdapters orders each endpoint to load one missing adapter.
func (r *round) loadAdapters(p *pool) {
	for _, e := range p.usable {
		if e.Starting || e.Loading || e.Model == "" {
			continue
		}
		missing := slices.IndexFunc(p.backend.Adapters, func(adapter string) bool {
			return !slices.Contains(e.Adapters, adapter)
		})
		if missing < 0 || r.remainingLoads <= 0 {
			continue
		}
		r.remainingLoads--
		r.orders = append(r.orders, order.Order{
			Kind: order.LoadAdapter, Backend: p.backend.Name, FailureDomain: e.FailureDomain,
			Market: e.Market, EndpointID: e.ID, Adapter: p.backend.Adapters[missing],
		})
	}
}

// setRole orders a role change for at most one endpoint of a back end at a time,
// until PrefillShare of them only process prompts.
func (r *round) setRole(p *pool) {
	if p.backend.PrefillShare <= 0 {
		return
	}
	last, changed := r.lastRoleChange[p.backend.Name]
	if changed && r.in.Now-last < r.settings.RoleInterval {
		return
	}
	chosen, role := p.nextRole(r.settings.MinEndpointsForRoles)
	if chosen == nil {
		return
	}
	r.lastRoleChange[p.backend.Name] = r.in.Now
	r.orders = append(r.orders, order.Order{
		Kind: order.SetRole, Backend: p.backend.Name, FailureDomain: chosen.FailureDomain,
		Market: chosen.Market, EndpointID: chosen.ID, Role: role,
	})
}

// nextRole returns an endpoint whose role should change, and the role.
func (p *pool) nextRole(minSplit int) (chosen *Endpoint, role string) {
	var running []*Endpoint
	for i := range p.usable {
		if !p.usable[i].Starting {
			running = append(running, &p.usable[i])
		}
	}
	want := map[string]int{RoleMixed: len(running)}
	if len(running) >= minSplit {
		prefill := min(len(running)-1, max(1, int(math.Round(p.backend.PrefillShare*float64(len(running))))))
		want = map[string]int{RolePrefill: prefill, RoleDecode: len(running) - prefill}
	}
	var surplus []*Endpoint
	for _, e := range running {
		current := e.Role
		if current == "" {
			current = RoleMixed
		}
		if want[current] > 0 {
			want[current]--
			continue
		}
		surplus = append(surplus, e)
	}
	for _, role := range []string{RolePrefill, RoleDecode, RoleMixed} {
		if want[role] > 0 && len(surplus) > 0 {
			return surplus[0], role
		}
	}
	return nil, ""
}
