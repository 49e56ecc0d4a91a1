package rpc

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// remove deletes the entity that the request names.
func (s *Server) remove(ctx context.Context, kind entity.Kind, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return s.propose(ctx, req.GetRequestID(), change{kind: kind, name: req.GetName(), expected: req.GetExpectedRevision()})
}

// get returns the message of the entity that the request names.
func get[E, M any](s *Server, kind entity.Kind, name string, find func(string) (E, bool), message func(E, uint64) M) (m M, err error) {
	found, ok := find(name)
	if !ok {
		return m, notFound(string(kind), name)
	}
	return message(found, s.config.State.Revision(kind, name)), nil
}

// list returns the messages of all entities.
func list[E, M any](s *Server, kind entity.Kind, all []E, name func(E) string, message func(E, uint64) M) []M {
	messages := make([]M, len(all))
	for i, e := range all {
		messages[i] = message(e, s.config.State.Revision(kind, name(e)))
	}
	return messages
}

func teamName(t entity.Team) string       { return t.Name }
func classNameOf(c entity.Class) string   { return c.Name }
func routeName(r entity.Route) string     { return r.Name }
func backendName(b entity.Backend) string { return b.Name }
func keyID(k entity.Key) string           { return k.ID }

type teams struct {
	operatorv1.UnimplementedTeamsServer
	server *Server
}

// Put implements operatorv1.TeamsServer.
func (t *teams) Put(ctx context.Context, req *operatorv1.PutTeamRequest) (*operatorv1.ChangeResponse, error) {
	value := teamEntity(req.GetTeam())
	return t.server.propose(ctx, req.GetRequestID(), change{entity.KindTeam, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.TeamsServer.
func (t *teams) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return t.server.remove(ctx, entity.KindTeam, req)
}

// Get implements operatorv1.TeamsServer.
func (t *teams) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Team, error) {
	return get(t.server, entity.KindTeam, req.GetName(), t.server.config.State.Team, teamMessage)
}

// List implements operatorv1.TeamsServer.
func (t *teams) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListTeamsResponse, error) {
	all := list(t.server, entity.KindTeam, t.server.config.State.Teams(), teamName, teamMessage)
	return &operatorv1.ListTeamsResponse{Teams: all}, nil
}

type classes struct {
	operatorv1.UnimplementedClassesServer
	server *Server
}

// Put implements operatorv1.ClassesServer.
func (c *classes) Put(ctx context.Context, req *operatorv1.PutClassRequest) (*operatorv1.ChangeResponse, error) {
	value := classEntity(req.GetClass())
	return c.server.propose(ctx, req.GetRequestID(), change{entity.KindClass, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.ClassesServer.
func (c *classes) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return c.server.remove(ctx, entity.KindClass, req)
}

// Get implements operatorv1.ClassesServer.
func (c *classes) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Class, error) {
	return get(c.server, entity.KindClass, req.GetName(), c.server.config.State.Class, classMessage)
}

// List implements operatorv1.ClassesServer.
func (c *classes) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListClassesResponse, error) {
	all := list(c.server, entity.KindClass, c.server.config.State.Classes(), classNameOf, classMessage)
	return &operatorv1.ListClassesResponse{Classes: all}, nil
}

type routes struct {
	operatorv1.UnimplementedRoutesServer
	server *Server
}

// Put implements operatorv1.RoutesServer.
func (r *routes) Put(ctx context.Context, req *operatorv1.PutRouteRequest) (*operatorv1.ChangeResponse, error) {
	value := routeEntity(req.GetRoute())
	return r.server.propose(ctx, req.GetRequestID(), change{entity.KindRoute, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.RoutesServer.
func (r *routes) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return r.server.remove(ctx, entity.KindRoute, req)
}

// Get implements operatorv1.RoutesServer.
func (r *routes) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Route, error) {
	return get(r.server, entity.KindRoute, req.GetName(), r.server.config.State.Route, routeMessage)
}

// List implements operatorv1.RoutesServer.
func (r *routes) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListRoutesResponse, error) {
	all := list(r.server, entity.KindRoute, r.server.config.State.Routes(), routeName, routeMessage)
	return &operatorv1.ListRoutesResponse{Routes: all}, nil
}

type backends struct {
	operatorv1.UnimplementedBackendsServer
	server *Server
}

// Put implements operatorv1.BackendsServer.
func (b *backends) Put(ctx context.Context, req *operatorv1.PutBackendRequest) (*operatorv1.ChangeResponse, error) {
	value := backendEntity(req.GetBackend())
	return b.server.propose(ctx, req.GetRequestID(), change{entity.KindBackend, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.BackendsServer.
func (b *backends) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return b.server.remove(ctx, entity.KindBackend, req)
}

// Get implements operatorv1.BackendsServer.
func (b *backends) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Backend, error) {
	return get(b.server, entity.KindBackend, req.GetName(), b.server.config.State.Backend, backendMessage)
}

// List implements operatorv1.BackendsServer.
func (b *backends) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListBackendsResponse, error) {
	all := list(b.server, entity.KindBackend, b.server.config.State.Backends(), backendName, backendMessage)
	return &operatorv1.ListBackendsResponse{Backends: all}, nil
}
