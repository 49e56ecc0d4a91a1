package rpc

import (
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

// proposedState is the configuration in force with proposed changes applied on
// top. The references of changed entities are checked against it. Concurrent
// changes by two operators may still leave a dangling reference: requests that
// use it are refused.
type proposedState struct {
	current *state.State
	// changed maps entity names to new values, nil for a deletion.
	changed map[string]any
}

// check refuses changes that are malformed or would leave a dangling reference.
func (s *Server) check(changes []change) error {
	proposed := proposedState{current: s.config.State, changed: make(map[string]any, len(changes))}
	for _, c := range changes {
		entityName := state.EntityName(c.kind, c.name)
		if _, twice := proposed.changed[entityName]; twice {
			return invalid(string(c.kind), "%q is changed twice", c.name)
		}
		proposed.changed[entityName] = c.value
	}
	for _, c := range changes {
		if err := s.checkChange(proposed, c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) checkChange(p proposedState, c change) error {
	if c.value == nil {
		if c.expectedRevision == 0 {
			return invalid("ExpectedRevision", "must be the revision of the %s that is deleted", c.kind)
		}
		return p.checkUnused(c.kind, c.name)
	}
	if err := validate(c.value); err != nil {
		return invalidEntity(c, err)
	}
	return p.checkReferences(c.value)
}

func validate(value any) error {
	if validator, ok := value.(interface{ Validate() error }); ok {
		if err := validator.Validate(); err != nil {
			return err
		}
	}
	return entity.CheckText(value)
}

func (p proposedState) exists(kind entity.Kind, name string) bool {
	value, changed := p.changed[state.EntityName(kind, name)]
	if changed {
		return value != nil
	}
	return p.current.Revision(kind, name) != 0
}

// checkReferences refuses a value that refers to an entity that does not exist.
func (p proposedState) checkReferences(value any) error {
	switch e := value.(type) {
	case entity.Key:
		return p.checkKey(e)
	case entity.Route:
		if err := p.requireExists(entity.KindBackend, "Route.Backend", e.Backend); err != nil {
			return err
		}
		if err := p.requireAllExist(entity.KindClass, "Route.Classes", e.Classes); err != nil {
			return err
		}
		return p.requireAllExist(entity.KindTeam, "Route.Teams", e.Teams)
	}
	return nil
}

// checkKey refuses a change of a key's hash or team and the reinstatement of a
// withdrawn key.
func (p proposedState) checkKey(key entity.Key) error {
	if old, found := p.current.Key(key.ID); found {
		switch {
		case old.Hash != key.Hash || old.Team != key.Team:
			return invalid("Key", "%s exists with another hash or team; create a new key", key.ID)
		case old.Withdrawn && !key.Withdrawn:
			return invalid("Key.Withdrawn", "%s was withdrawn for ever; create a new key", key.ID)
		}
	}
	if err := p.requireExists(entity.KindTeam, "Key.Team", key.Team); err != nil || key.Class == "" {
		return err
	}
	return p.requireExists(entity.KindClass, "Key.Class", key.Class)
}

func (p proposedState) requireAllExist(kind entity.Kind, field string, names []string) error {
	for _, name := range names {
		if err := p.requireExists(kind, field, name); err != nil {
			return err
		}
	}
	return nil
}

func (p proposedState) requireExists(kind entity.Kind, field, name string) error {
	if p.exists(kind, name) {
		return nil
	}
	return status.Errorf(codes.FailedPrecondition, "%s: there is no %s %q; create it first or in the same apply", field, kind, name)
}

// checkUnused refuses the deletion of an entity that a route or an active key
// refers to, and the deletion of any key.
func (p proposedState) checkUnused(kind entity.Kind, name string) error {
	if kind == entity.KindKey {
		return status.Error(codes.FailedPrecondition, "keys are withdrawn, not deleted")
	}
	for _, route := range p.routes() {
		if routeUses(route, kind, name) {
			return status.Errorf(codes.FailedPrecondition, "%s %q is used by route %q; change that first", kind, name, route.Name)
		}
	}
	if kind != entity.KindTeam {
		return nil
	}
	for _, key := range p.current.Keys(name) {
		if !key.Withdrawn {
			return status.Errorf(codes.FailedPrecondition, "Team %q has the key %s; withdraw it first", name, key.ID)
		}
	}
	return nil
}

// routes returns the routes after the proposed changes.
func (p proposedState) routes() []entity.Route {
	var routes []entity.Route
	for _, route := range p.current.Routes() {
		if _, changed := p.changed[state.EntityName(entity.KindRoute, route.Name)]; !changed {
			routes = append(routes, route)
		}
	}
	for _, value := range p.changed {
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
