package rpc

import (
	"context"
	"fmt"
	"reflect"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Values of Action in differences and audit entries.
const (
	actionCreate = "Create"
	actionEdit   = "Edit"
	actionDelete = "Delete"
)

type configService struct {
	operatorv1.UnimplementedConfigServer
	server *Server
}

// Apply implements operatorv1.ConfigServer.
func (c *configService) Apply(ctx context.Context, req *operatorv1.ApplyRequest) (*operatorv1.ApplyResponse, error) {
	if len(req.GetChanges()) == 0 {
		return nil, invalid("Changes", "is empty")
	}
	if len(req.GetChanges()) > maxChangesInApply && !req.GetDryRun() {
		return nil, invalid("Changes", "has %d entries, at most %d fit into one transaction", len(req.GetChanges()), maxChangesInApply)
	}
	changes, err := decodeChanges(req.GetChanges())
	if err != nil {
		return nil, err
	}
	response := &operatorv1.ApplyResponse{Differences: c.server.diff(changes)}
	if req.GetDryRun() {
		return response, c.server.check(changes)
	}
	response.Change, err = c.server.propose(ctx, req.GetRequestID(), changes...)
	return response, err
}

func decodeChanges(messages []*operatorv1.EntityChange) ([]change, error) {
	changes := make([]change, len(messages))
	for i, message := range messages {
		decoded, ok := decodeChange(message)
		if !ok {
			return nil, invalid("Changes", "entry %d has no entity", i)
		}
		changes[i] = decoded
	}
	return changes, nil
}

func decodeChange(message *operatorv1.EntityChange) (change, bool) {
	decoded := change{expectedRevision: message.GetExpectedRevision()}
	switch value := message.GetEntity().GetValue().(type) {
	case *operatorv1.Entity_Team:
		decoded.kind, decoded.name, decoded.value = entity.KindTeam, value.Team.GetName(), teamEntity(value.Team)
	case *operatorv1.Entity_Key:
		decoded.kind, decoded.name, decoded.value = entity.KindKey, value.Key.GetID(), keyEntity(value.Key)
	case *operatorv1.Entity_Class:
		decoded.kind, decoded.name, decoded.value = entity.KindClass, value.Class.GetName(), classEntity(value.Class)
	case *operatorv1.Entity_Route:
		decoded.kind, decoded.name, decoded.value = entity.KindRoute, value.Route.GetName(), routeEntity(value.Route)
	case *operatorv1.Entity_Backend:
		decoded.kind, decoded.name, decoded.value = entity.KindBackend, value.Backend.GetName(), backendEntity(value.Backend)
	default:
		return change{}, false
	}
	if message.GetDelete() {
		decoded.value = nil
	}
	return decoded, true
}

// diff compares the changes with the configuration in force.
func (s *Server) diff(changes []change) []*operatorv1.Difference {
	var differences []*operatorv1.Difference
	for _, c := range changes {
		differences = append(differences, diffEntity(c, s.currentEntity(c.kind, c.name))...)
	}
	return differences
}

// currentEntity returns the entity in force, or nil if there is none.
func (s *Server) currentEntity(kind entity.Kind, name string) any {
	var value any
	var found bool
	switch kind {
	case entity.KindTeam:
		value, found = s.config.State.Team(name)
	case entity.KindKey:
		value, found = s.config.State.Key(name)
	case entity.KindClass:
		value, found = s.config.State.Class(name)
	case entity.KindRoute:
		value, found = s.config.State.Route(name)
	case entity.KindBackend:
		value, found = s.config.State.Backend(name)
	}
	if !found {
		return nil
	}
	return value
}

// diffEntity lists the fields that differ between an entity and its new value.
// It returns one difference for a deletion, and also for a creation that leaves
// every field at its zero value.
func diffEntity(c change, before any) []*operatorv1.Difference {
	action := actionEdit
	switch {
	case c.value == nil && before == nil:
		return nil
	case c.value == nil:
		return []*operatorv1.Difference{{Kind: string(c.kind), Name: c.name, Action: actionDelete}}
	case before == nil:
		action = actionCreate
		before = reflect.Zero(reflect.TypeOf(c.value)).Interface()
	}
	var differences []*operatorv1.Difference
	old, updated := reflect.ValueOf(before), reflect.ValueOf(c.value)
	for i := range updated.NumField() {
		from, to := formatField(old.Field(i)), formatField(updated.Field(i))
		name := updated.Type().Field(i).Name
		if from == to || name == "Name" || name == "ID" {
			continue
		}
		differences = append(differences, &operatorv1.Difference{
			Kind: string(c.kind), Name: c.name, Action: action, Field: name, Before: from, After: to,
		})
	}
	if len(differences) == 0 && action == actionCreate {
		differences = append(differences, &operatorv1.Difference{Kind: string(c.kind), Name: c.name, Action: action})
	}
	return differences
}

// formatField returns a hash in hexadecimal and an unset hash or empty list as
// an empty string.
func formatField(value reflect.Value) string {
	if hash, ok := value.Interface().([32]byte); ok {
		if hash == [32]byte{} {
			return ""
		}
		return fmt.Sprintf("%x", hash)
	}
	if value.Kind() == reflect.Slice && value.Len() == 0 {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// Export implements operatorv1.ConfigServer.
func (c *configService) Export(context.Context, *operatorv1.ExportRequest) (*operatorv1.ExportResponse, error) {
	snapshot, err := c.server.config.State.Snapshot()
	if err != nil {
		return nil, readError(err)
	}
	response := &operatorv1.ExportResponse{Sequence: snapshot.Sequence}
	for _, entry := range snapshot.Entries {
		value, err := state.Decode(entry.Entity, entry.Value)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		response.Entities = append(response.Entities, entityMessage(value, entry.Revision))
	}
	return response, nil
}

func entityMessage(value any, revision uint64) *operatorv1.Entity {
	message := &operatorv1.Entity{}
	switch e := value.(type) {
	case entity.Team:
		message.Value = &operatorv1.Entity_Team{Team: teamMessage(e, revision)}
	case entity.Key:
		key := keyMessage(e, revision)
		key.Hash = e.Hash[:]
		message.Value = &operatorv1.Entity_Key{Key: key}
	case entity.Class:
		message.Value = &operatorv1.Entity_Class{Class: classMessage(e, revision)}
	case entity.Route:
		message.Value = &operatorv1.Entity_Route{Route: routeMessage(e, revision)}
	case entity.Backend:
		message.Value = &operatorv1.Entity_Backend{Backend: backendMessage(e, revision)}
	}
	return message
}
