package rpc

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// deleteEntity deletes the entity that the request names.
func (s *Server) deleteEntity(ctx context.Context, kind entity.Kind, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return s.propose(ctx, req.GetRequestID(), change{kind: kind, name: req.GetName(), expectedRevision: req.GetExpectedRevision()})
}

// revision returns the current revision of an entity, or 0 if there is none.
func (s *Server) revision(kind entity.Kind, name string) uint64 {
	return s.config.State.Revision(kind, name)
}

type teamsService struct {
	operatorv1.UnimplementedTeamsServer
	server *Server
}

// Put implements operatorv1.TeamsServer.
func (t *teamsService) Put(ctx context.Context, req *operatorv1.PutTeamRequest) (*operatorv1.ChangeResponse, error) {
	value := teamEntity(req.GetTeam())
	return t.server.propose(ctx, req.GetRequestID(), change{entity.KindTeam, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.TeamsServer.
func (t *teamsService) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return t.server.deleteEntity(ctx, entity.KindTeam, req)
}

// Get implements operatorv1.TeamsServer.
func (t *teamsService) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Team, error) {
	found, ok := t.server.config.State.Team(req.GetName())
	if !ok {
		return nil, notFound("Team", req.GetName())
	}
	return teamMessage(found, t.server.revision(entity.KindTeam, found.Name)), nil
}

// List implements operatorv1.TeamsServer.
func (t *teamsService) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListTeamsResponse, error) {
	response := &operatorv1.ListTeamsResponse{}
	for _, found := range t.server.config.State.Teams() {
		response.Teams = append(response.Teams, teamMessage(found, t.server.revision(entity.KindTeam, found.Name)))
	}
	return response, nil
}

type classesService struct {
	operatorv1.UnimplementedClassesServer
	server *Server
}

// Put implements operatorv1.ClassesServer.
func (c *classesService) Put(ctx context.Context, req *operatorv1.PutClassRequest) (*operatorv1.ChangeResponse, error) {
	value := classEntity(req.GetClass())
	return c.server.propose(ctx, req.GetRequestID(), change{entity.KindClass, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.ClassesServer.
func (c *classesService) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return c.server.deleteEntity(ctx, entity.KindClass, req)
}

// Get implements operatorv1.ClassesServer.
func (c *classesService) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Class, error) {
	found, ok := c.server.config.State.Class(req.GetName())
	if !ok {
		return nil, notFound("Class", req.GetName())
	}
	return classMessage(found, c.server.revision(entity.KindClass, found.Name)), nil
}

// List implements operatorv1.ClassesServer.
func (c *classesService) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListClassesResponse, error) {
	response := &operatorv1.ListClassesResponse{}
	for _, found := range c.server.config.State.Classes() {
		response.Classes = append(response.Classes, classMessage(found, c.server.revision(entity.KindClass, found.Name)))
	}
	return response, nil
}

type routesService struct {
	operatorv1.UnimplementedRoutesServer
	server *Server
}

// Put implements operatorv1.RoutesServer.
func (r *routesService) Put(ctx context.Context, req *operatorv1.PutRouteRequest) (*operatorv1.ChangeResponse, error) {
	value := routeEntity(req.GetRoute())
	return r.server.propose(ctx, req.GetRequestID(), change{entity.KindRoute, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.RoutesServer.
func (r *routesService) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return r.server.deleteEntity(ctx, entity.KindRoute, req)
}

// Get implements operatorv1.RoutesServer.
func (r *routesService) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Route, error) {
	found, ok := r.server.config.State.Route(req.GetName())
	if !ok {
		return nil, notFound("Route", req.GetName())
	}
	return routeMessage(found, r.server.revision(entity.KindRoute, found.Name)), nil
}

// List implements operatorv1.RoutesServer.
func (r *routesService) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListRoutesResponse, error) {
	response := &operatorv1.ListRoutesResponse{}
	for _, found := range r.server.config.State.Routes() {
		response.Routes = append(response.Routes, routeMessage(found, r.server.revision(entity.KindRoute, found.Name)))
	}
	return response, nil
}

type backendsService struct {
	operatorv1.UnimplementedBackendsServer
	server *Server
}

// Put implements operatorv1.BackendsServer.
func (b *backendsService) Put(ctx context.Context, req *operatorv1.PutBackendRequest) (*operatorv1.ChangeResponse, error) {
	value := backendEntity(req.GetBackend())
	return b.server.propose(ctx, req.GetRequestID(), change{entity.KindBackend, value.Name, req.GetExpectedRevision(), value})
}

// Delete implements operatorv1.BackendsServer.
func (b *backendsService) Delete(ctx context.Context, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return b.server.deleteEntity(ctx, entity.KindBackend, req)
}

// Get implements operatorv1.BackendsServer.
func (b *backendsService) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Backend, error) {
	found, ok := b.server.config.State.Backend(req.GetName())
	if !ok {
		return nil, notFound("Backend", req.GetName())
	}
	return backendMessage(found, b.server.revision(entity.KindBackend, found.Name)), nil
}

// List implements operatorv1.BackendsServer.
func (b *backendsService) List(context.Context, *operatorv1.ListRequest) (*operatorv1.ListBackendsResponse, error) {
	response := &operatorv1.ListBackendsResponse{}
	for _, found := range b.server.config.State.Backends() {
		response.Backends = append(response.Backends, backendMessage(found, b.server.revision(entity.KindBackend, found.Name)))
	}
	return response, nil
}
