// Package shared defines what the team commands have in common: the flags, list
// columns and RPC calls of a team.
//
// # Usage
//
//	flags := field.Add(cmd.Flags(), &operatorv1.Team{}, shared.Resource.Flags)
package shared

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Resource describes a team to the team commands.
var Resource = resource.Resource{
	Noun:    "team",
	New:     func() proto.Message { return &operatorv1.Team{} },
	Columns: []string{"Name", "Weight", "Disabled", "Revision"},
	Flags: []field.Flag{
		{Name: "weight", Field: "Weight", Default: "1", Usage: "share of the capacity relative to other teams, at least 1"},
		{Name: "disabled", Field: "Disabled", Usage: "refuse the team's requests"},
	},
	Get:    get,
	GetAll: getAll,
	Put:    put,
	Remove: remove,
}

func get(ctx context.Context, c *client.Client, name string) (proto.Message, error) {
	return c.Teams.Get(ctx, &operatorv1.GetRequest{Name: name})
}

func getAll(ctx context.Context, c *client.Client) ([]proto.Message, error) {
	response, err := c.Teams.List(ctx, &operatorv1.ListRequest{})
	if err != nil {
		return nil, err
	}
	messages := make([]proto.Message, len(response.GetTeams()))
	for i, message := range response.GetTeams() {
		messages[i] = message
	}
	return messages, nil
}

func put(ctx context.Context, c *client.Client, requestID string, expected uint64, message proto.Message) (*operatorv1.ChangeResponse, error) {
	return c.Teams.Put(ctx, &operatorv1.PutTeamRequest{
		RequestID:        requestID,
		ExpectedRevision: expected,
		Team:             message.(*operatorv1.Team),
	})
}

func remove(ctx context.Context, c *client.Client, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return c.Teams.Delete(ctx, req)
}
