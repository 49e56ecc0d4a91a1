package rpc

import (
	"context"
	"encoding/json"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

type usageService struct {
	operatorv1.UnimplementedUsageServer
	server *Server
}

// List implements operatorv1.UsageServer.
func (u *usageService) List(ctx context.Context, req *operatorv1.ListUsageRequest) (*operatorv1.ListUsageResponse, error) {
	limit, err := checkLimit(req.GetLimit(), defaultUsageLimit, maxUsageLimit)
	if err != nil {
		return nil, err
	}
	windows, err := u.server.config.UsageWindows(ctx, limit)
	if err != nil {
		return nil, readError(err)
	}
	response := &operatorv1.ListUsageResponse{}
	for _, window := range windows {
		if startsWithin(window.Start, req.GetSinceUnixMillis(), req.GetUntilUnixMillis()) {
			response.Windows = append(response.Windows, usageWindowMessage(window, req))
		}
	}
	return response, nil
}

func checkLimit(limit, defaultLimit, maxLimit int32) (int, error) {
	switch {
	case limit == 0:
		return int(defaultLimit), nil
	case limit < 0 || limit > maxLimit:
		return 0, invalid("Limit", "is %d, must be from 1 to %d", limit, maxLimit)
	}
	return int(limit), nil
}

func startsWithin(start clock.Millis, since, until int64) bool {
	return int64(start) >= since && (until == 0 || int64(start) < until)
}

func usageWindowMessage(window SealedWindow, req *operatorv1.ListUsageRequest) *operatorv1.UsageWindow {
	message := &operatorv1.UsageWindow{
		Scope:           window.Scope,
		Number:          window.Number,
		StartUnixMillis: int64(window.Start),
		EndUnixMillis:   int64(window.End),
		Reported:        window.Reported,
	}
	for _, line := range window.Lines {
		if matchesFilter(line, req) {
			message.Lines = append(message.Lines, usageLineMessage(line))
		}
	}
	return message
}

func matchesFilter(line usage.Line, req *operatorv1.ListUsageRequest) bool {
	return (req.GetTeam() == "" || req.GetTeam() == line.Team) &&
		(req.GetClass() == "" || req.GetClass() == line.Class) &&
		(req.GetBackend() == "" || req.GetBackend() == line.Backend)
}

func usageLineMessage(line usage.Line) *operatorv1.UsageLine {
	return &operatorv1.UsageLine{
		Team:         line.Team,
		Class:        line.Class,
		Backend:      line.Backend,
		Requests:     line.Requests,
		PromptTokens: line.PromptTokens,
		OutputTokens: line.OutputTokens,
	}
}

type auditService struct {
	operatorv1.UnimplementedAuditServer
	server *Server
}

// List implements operatorv1.AuditServer.
func (a *auditService) List(ctx context.Context, req *operatorv1.ListAuditRequest) (*operatorv1.ListAuditResponse, error) {
	limit, err := checkLimit(req.GetLimit(), defaultAuditLimit, maxAuditLimit)
	if err != nil {
		return nil, err
	}
	after := req.GetAfter()
	if req.GetLatest() {
		after = a.server.config.State.Sequence()
		after -= min(after, uint64(limit))
	}
	changes, err := a.server.config.ChangesAfter(ctx, after, limit)
	if err != nil {
		return nil, readError(err)
	}
	response := &operatorv1.ListAuditResponse{}
	for _, c := range changes {
		for _, write := range c.Writes {
			response.Entries = append(response.Entries, auditMessage(c, write))
		}
	}
	return response, nil
}

func auditMessage(c changelog.Change, write changelog.EntityWrite) *operatorv1.AuditEntry {
	kind, name := state.SplitName(write.Entity)
	action := actionEdit
	switch {
	case write.Deleted:
		action = actionDelete
	case write.Before == nil:
		action = actionCreate
	}
	return &operatorv1.AuditEntry{
		Sequence:       c.Sequence,
		TimeUnixMillis: int64(c.Wall),
		Actor:          c.Actor,
		RequestID:      c.RequestID,
		Kind:           string(kind),
		Name:           name,
		Action:         action,
		Before:         auditJSON(write.Entity, write.Before),
		After:          auditJSON(write.Entity, write.Value),
	}
}

// redactedKey is a key without its hash.
type redactedKey struct {
	ID, Team, Class string
	Withdrawn       bool
}

// auditJSON returns an encoded entity as JSON without a key's hash, or an empty
// string if there is no entity. If the entity cannot be decoded, it returns the
// text of the error.
func auditJSON(entityName string, encoded []byte) string {
	if encoded == nil {
		return ""
	}
	value, err := state.Decode(entityName, encoded)
	if err != nil {
		return err.Error()
	}
	if key, ok := value.(entity.Key); ok {
		value = redactedKey{ID: key.ID, Team: key.Team, Class: key.Class, Withdrawn: key.Withdrawn}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

type fleetService struct {
	operatorv1.UnimplementedFleetServer
	server *Server
}

// Status implements operatorv1.FleetServer.
func (f *fleetService) Status(ctx context.Context, _ *operatorv1.FleetStatusRequest) (*operatorv1.FleetStatus, error) {
	response, err := f.server.config.FleetStatus(ctx)
	if err != nil {
		return nil, readError(err)
	}
	return response, nil
}
