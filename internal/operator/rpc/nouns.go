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

// revision returns the revision of an entity in force.
func (s *Server) revision(kind entity.Kind, name string) uint64 {
	return s.config.State.Revision(kind, name)
}

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
	found, ok := t.server.config.State.Team(req.GetName())
	if !ok {
		return nil, notFound("Team", req.GetName())
	}
	return teamMessage(found, t.server.revision(entity.KindTeam, found.Name)), nil
}

// List implements operatorv1.TeamsServer.
func (t *teams) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListTeamsResponse, error) {
	response := &operatorv1.ListTeamsResponse{}
	for _, found := range t.server.config.State.Teams() {
		response.Teams = append(response.Teams, teamMessage(found, t.server.revision(entity.KindTeam, found.Name)))
	}
	return response, nil
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
	found, ok := c.server.config.State.Class(req.GetName())
	if !ok {
		return nil, notFound("Class", req.GetName())
	}
	return classMessage(found, c.server.revision(entity.KindClass, found.Name)), nil
}

// List implements operatorv1.ClassesServer.
func (c *classes) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListClassesResponse, error) {
	response := &operatorv1.ListClassesResponse{}
	for _, found := range c.server.config.State.Classes() {
		response.Classes = append(response.Classes, classMessage(found, c.server.revision(entity.KindClass, found.Name)))
	}
	return response, nil
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
	found, ok := r.server.config.State.Route(req.GetName())
	if !ok {
		return nil, notFound("Route", req.GetName())
	}
	return routeMessage(found, r.server.revision(entity.KindRoute, found.Name)), nil
}

// List implements operatorv1.RoutesServer.
func (r *routes) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListRoutesResponse, error) {
	response := &operatorv1.ListRoutesResponse{}
	for _, found := range r.server.config.State.Routes() {
		response.Routes = append(response.Routes, routeMessage(found, r.server.revision(entity.KindRoute, found.Name)))
	}
	return response, nil
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
	found, ok := b.server.config.State.Backend(req.GetName())
	if !ok {
		return nil, notFound("Backend", req.GetName())
	}
	return backendMessage(found, b.server.revision(entity.KindBackend, found.Name)), nil
}

// List implements operatorv1.BackendsServer.
func (b *backends) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListBackendsResponse, error) {
	response := &operatorv1.ListBackendsResponse{}
	for _, found := range b.server.config.State.Backends() {
		response.Backends = append(response.Backends, backendMessage(found, b.server.revision(entity.KindBackend, found.Name)))
	}
	return response, nil
}
