// Package shared defines what the route commands have in common: the flags, list
// columns and RPC calls of a route.
//
// # Usage
//
//	flags := field.Add(cmd.Flags(), &operatorv1.Route{}, shared.Resource.Flags)
package shared

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Resource describes a route to the route commands.
var Resource = resource.Resource{
	Noun:    "route",
	New:     func() proto.Message { return &operatorv1.Route{} },
	Columns: []string{"Name", "Backend", "Prefix", "Classes", "Teams", "OpenToAll", "Revision"},
	Flags: []field.Flag{
		{Name: "backend", Field: "Backend", Required: true, Usage: "back end that serves the route"},
		{Name: "prefix", Field: "Prefix", Usage: "path prefix of a plain service, such as /certificates"},
		{Name: "class", Field: "Classes", Required: true, Usage: "class that may use the route; the first is the default; may be given several times"},
		{Name: "team", Field: "Teams", Usage: "team that may use the route; may be given several times"},
		{Name: "open-to-all", Field: "OpenToAll", Usage: "admit every caller, with or without a key"},
	},
	Get:    get,
	GetAll: getAll,
	Put:    put,
	Remove: remove,
}

func get(ctx context.Context, c *client.Client, name string) (proto.Message, error) {
	return c.Routes.Get(ctx, &operatorv1.GetRequest{Name: name})
}

func getAll(ctx context.Context, c *client.Client) ([]proto.Message, error) {
	response, err := c.Routes.List(ctx, &operatorv1.ListRequest{})
	if err != nil {
		return nil, err
	}
	messages := make([]proto.Message, len(response.GetRoutes()))
	for i, message := range response.GetRoutes() {
		messages[i] = message
	}
	return messages, nil
}

func put(ctx context.Context, c *client.Client, requestID string, expected uint64, message proto.Message) (*operatorv1.ChangeResponse, error) {
	return c.Routes.Put(ctx, &operatorv1.PutRouteRequest{
		RequestID:        requestID,
		ExpectedRevision: expected,
		Route:            message.(*operatorv1.Route),
	})
}

func remove(ctx context.Context, c *client.Client, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return c.Routes.Delete(ctx, req)
}
