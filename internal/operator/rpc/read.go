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

type usageReader struct {
	operatorv1.UnimplementedUsageServer
	server *Server
}

// List implements operatorv1.UsageServer.
func (u *usageReader) List(ctx context.Context, req *operatorv1.ListUsageRequest) (*operatorv1.ListUsageResponse, error) {
	limit, err := checkLimit(req.GetLimit(), defaultUsageLimit, maxUsageWindowLimit)
	if err != nil {
		return nil, err
	}
	windows, err := u.server.config.UsageWindows(ctx, limit)
	if err != nil {
		return nil, readError(err)
	}
	response := &operatorv1.ListUsageResponse{}
	for _, window := range windows {
		if within(window.Start, req.GetSinceUnixMillis(), req.GetUntilUnixMillis()) {
			response.Windows = append(response.Windows, windowMessage(window, req))
		}
	}
	return response, nil
}

func checkLimit(limit, standard, greatest int32) (int, error) {
	switch {
	case limit == 0:
		return int(standard), nil
	case limit < 0 || limit > greatest:
		return 0, invalid("Limit", "is %d, must be from 1 to %d", limit, greatest)
	}
	return int(limit), nil
}

func within(start clock.Millis, since, until int64) bool {
	return int64(start) >= since && (until == 0 || int64(start) < until)
}

func windowMessage(window SealedWindow, req *operatorv1.ListUsageRequest) *operatorv1.UsageWindow {
	message := &operatorv1.UsageWindow{
		Scope:           window.Scope,
		Number:          window.Number,
		StartUnixMillis: int64(window.Start),
		EndUnixMillis:   int64(window.End),
		Reported:        window.Reported,
	}
	for _, line := range window.Lines {
		if wanted(line, req) {
			message.Lines = append(message.Lines, lineMessage(line))
		}
	}
	return message
}

func wanted(line usage.Line, req *operatorv1.ListUsageRequest) bool {
	return (req.GetTeam() == "" || req.GetTeam() == line.Team) &&
		(req.GetClass() == "" || req.GetClass() == line.Class) &&
		(req.GetBackend() == "" || req.GetBackend() == line.Backend)
}

func lineMessage(line usage.Line) *operatorv1.UsageLine {
	return &operatorv1.UsageLine{
		Team:         line.Team,
		Class:        line.Class,
		Backend:      line.Backend,
		Requests:     line.Requests,
		PromptTokens: line.PromptTokens,
		OutputTokens: line.OutputTokens,
	}
}

type auditReader struct {
	operatorv1.UnimplementedAuditServer
	server *Server
}

// List implements operatorv1.AuditServer.
func (a *auditReader) List(ctx context.Context, req *operatorv1.ListAuditRequest) (*operatorv1.ListAuditResponse, error) {
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
		Before:         auditText(write.Entity, write.Before),
		After:          auditText(write.Entity, write.Value),
	}
}

// auditKey is a key without its hash.
type auditKey struct {
	ID, Team, Class string
	Withdrawn       bool
}

// auditText returns an encoded entity as JSON, empty when there is none.
func auditText(entityName string, encoded []byte) string {
	if encoded == nil {
		return ""
	}
	value, err := state.Decode(entityName, encoded)
	if err != nil {
		return err.Error()
	}
	if key, ok := value.(entity.Key); ok {
		value = auditKey{ID: key.ID, Team: key.Team, Class: key.Class, Withdrawn: key.Withdrawn}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

type fleet struct {
	operatorv1.UnimplementedFleetServer
	server *Server
}

// Status implements operatorv1.FleetServer.
func (f *fleet) Status(ctx context.Context, _ *operatorv1.FleetStatusRequest) (*operatorv1.FleetStatus, error) {
	response, err := f.server.config.FleetStatus(ctx)
	if err != nil {
		return nil, readError(err)
	}
	return response, nil
}
