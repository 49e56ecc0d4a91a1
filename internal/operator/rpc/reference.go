package rpc

import (
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

// view is the configuration in force with some changes on top. It is what the
// references of the changed entities are checked against. Two operators that
// race may still leave a reference to nothing: requests that meet it are
// refused.
type view struct {
	state *state.State
	// changed holds the new value by entity name, nil for a deletion.
	changed map[string]any
}

// check refuses changes that are malformed or would leave a reference to
// nothing.
func (s *Server) check(changes []change) error {
	v := view{state: s.config.State, changed: make(map[string]any, len(changes))}
	for _, c := range changes {
		entityName := state.EntityName(c.kind, c.name)
		if _, twice := v.changed[entityName]; twice {
			return invalid(string(c.kind), "%q is changed twice", c.name)
		}
		v.changed[entityName] = c.value
	}
	for _, c := range changes {
		if err := s.checkOne(v, c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) checkOne(v view, c change) error {
	if c.value == nil {
		if c.expected == 0 {
			return invalid("ExpectedRevision", "must be the revision of the %s that is deleted", c.kind)
		}
		return v.checkUnused(c.kind, c.name)
	}
	if err := validate(c.value); err != nil {
		return invalidEntity(c, err)
	}
	return v.checkReferences(c.value)
}

func validate(value any) error {
	if validator, ok := value.(interface{ Validate() error }); ok {
		if err := validator.Validate(); err != nil {
			return err
		}
	}
	return entity.CheckText(value)
}

func (v view) exists(kind entity.Kind, name string) bool {
	value, changed := v.changed[state.EntityName(kind, name)]
	if changed {
		return value != nil
	}
	return v.state.Revision(kind, name) != 0
}

// checkReferences refuses a value that names something that does not exist.
func (v view) checkReferences(value any) error {
	switch e := value.(type) {
	case entity.Key:
		return v.checkKey(e)
	case entity.Route:
		if err := v.mustExist(entity.KindBackend, "Route.Backend", e.Backend); err != nil {
			return err
		}
		if err := v.mustAllExist(entity.KindClass, "Route.Classes", e.Classes); err != nil {
			return err
		}
		return v.mustAllExist(entity.KindTeam, "Route.Teams", e.Teams)
	}
	return nil
}

// checkKey refuses a key that takes the place of another or comes back after
// its withdrawal.
func (v view) checkKey(key entity.Key) error {
	if old, found := v.state.Key(key.ID); found {
		switch {
		case old.Hash != key.Hash || old.Team != key.Team:
			return invalid("Key", "%s exists with another hash or team; create a new key", key.ID)
		case old.Withdrawn && !key.Withdrawn:
			return invalid("Key.Withdrawn", "%s was withdrawn for ever; create a new key", key.ID)
		}
	}
	if err := v.mustExist(entity.KindTeam, "Key.Team", key.Team); err != nil || key.Class == "" {
		return err
	}
	return v.mustExist(entity.KindClass, "Key.Class", key.Class)
}

func (v view) mustAllExist(kind entity.Kind, field string, names []string) error {
	for _, name := range names {
		if err := v.mustExist(kind, field, name); err != nil {
			return err
		}
	}
	return nil
}

func (v view) mustExist(kind entity.Kind, field, name string) error {
	if v.exists(kind, name) {
		return nil
	}
	return status.Errorf(codes.FailedPrecondition, "%s: there is no %s %q; create it first or in the same apply", field, kind, name)
}

// checkUnused refuses the deletion of what a route or key still names.
func (v view) checkUnused(kind entity.Kind, name string) error {
	if kind == entity.KindKey {
		return status.Error(codes.FailedPrecondition, "keys are withdrawn, not deleted")
	}
	for _, route := range v.routes() {
		if routeUses(route, kind, name) {
			return status.Errorf(codes.FailedPrecondition, "%s %q is used by route %q; change that first", kind, name, route.Name)
		}
	}
	if kind != entity.KindTeam {
		return nil
	}
	for _, key := range v.state.Keys(name) {
		if !key.Withdrawn {
			return status.Errorf(codes.FailedPrecondition, "Team %q has the key %s; withdraw it first", name, key.ID)
		}
	}
	return nil
}

// routes returns the routes as they will be.
func (v view) routes() []entity.Route {
	var routes []entity.Route
	for _, route := range v.state.Routes() {
		if _, changed := v.changed[state.EntityName(entity.KindRoute, route.Name)]; !changed {
			routes = append(routes, route)
		}
	}
	for _, value := range v.changed {
		if route, ok := value.(entity.Route); ok {
			routes = append(routes, route)
		}
	}
	return routes
}

func routeUses(route entity.Route, kind entity.Kind, name string) bool {
	switch kind {
	case entity.KindBackend:
		return route.Backend == name
	case entity.KindClass:
		return slices.Contains(route.Classes, name)
	case entity.KindTeam:
		return slices.Contains(route.Teams, name)
	}
	return false
}
