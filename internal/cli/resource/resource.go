// Package resource implements the commands that work the same way for every kind
// of entity: create, edit, list, view and delete.
//
// # Usage
//
// Each noun of the command line defines a Resource. The package of each verb
// calls the method of the same name:
//
//	func listRun(ctx context.Context, opts *ListOptions) error {
//		return shared.Resource.List(ctx, opts.IO, opts.Client, &opts.Format)
//	}
package resource

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// ConnectFunc returns a client.
type ConnectFunc func() (*client.Client, error)

// Resource describes a kind of entity to the commands. All fields must be set.
type Resource struct {
	// Noun is the kind shown in messages, such as "team".
	Noun string
	// New returns an empty message.
	New func() proto.Message
	// Flags lists the flags of the create and edit commands.
	Flags []field.Flag
	// Columns lists the fields that the list command shows.
	Columns []string
	Get     func(ctx context.Context, c *client.Client, name string) (proto.Message, error)
	GetAll  func(ctx context.Context, c *client.Client) ([]proto.Message, error)
	Put     func(ctx context.Context, c *client.Client, requestID string, expected uint64, message proto.Message) (*operatorv1.ChangeResponse, error)
	Remove  func(ctx context.Context, c *client.Client, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error)
}

// Create creates an entity from the flags.
func (r *Resource) Create(ctx context.Context, io *streams.Streams, connect ConnectFunc, options *change.Options, name string, flags *field.Flags) error {
	message := r.New()
	if err := flags.SetAll(message); err != nil {
		return err
	}
	if err := field.Set(message, "Name", name); err != nil {
		return err
	}
	return r.put(ctx, io, connect, options, "Created", 0, message)
}

// Edit reads an entity, applies adjust to it and writes it back.
func (r *Resource) Edit(ctx context.Context, io *streams.Streams, connect ConnectFunc, options *change.Options, name string, adjust func(proto.Message) error) (err error) {
	c, err := connect()
	if err != nil {
		return err
	}
	defer CloseClient(c, &err)
	message, err := r.Get(ctx, c, name)
	if err != nil {
		return err
	}
	if err := adjust(message); err != nil {
		return err
	}
	response, err := r.Put(ctx, c, options.EnsureRequestID(), options.ExpectedRevisionOr(Revision(message)), message)
	return options.Report(io, "Edited", response, err)
}

func (r *Resource) put(ctx context.Context, io *streams.Streams, connect ConnectFunc, options *change.Options, action string, expected uint64, message proto.Message) (err error) {
	c, err := connect()
	if err != nil {
		return err
	}
	defer CloseClient(c, &err)
	response, err := r.Put(ctx, c, options.EnsureRequestID(), expected, message)
	return options.Report(io, action, response, err)
}

// List prints all entities of the kind.
func (r *Resource) List(ctx context.Context, io *streams.Streams, connect ConnectFunc, format *output.Format) (err error) {
	c, err := connect()
	if err != nil {
		return err
	}
	defer CloseClient(c, &err)
	messages, err := r.GetAll(ctx, c)
	if err != nil {
		return err
	}
	return output.List(io, format, messages, r.Columns)
}

// View prints one entity.
func (r *Resource) View(ctx context.Context, io *streams.Streams, connect ConnectFunc, format *output.Format, name string) (err error) {
	c, err := connect()
	if err != nil {
		return err
	}
	defer CloseClient(c, &err)
	message, err := r.Get(ctx, c, name)
	if err != nil {
		return err
	}
	return output.View(io, format, message)
}

// Delete deletes one entity. It asks for confirmation unless yes is set.
func (r *Resource) Delete(ctx context.Context, io *streams.Streams, connect ConnectFunc, options *change.Options, name string, yes bool) (err error) {
	if !yes {
		if err := Confirm(io, fmt.Sprintf("Delete %s %s?", r.Noun, name)); err != nil {
			return err
		}
	}
	c, err := connect()
	if err != nil {
		return err
	}
	defer CloseClient(c, &err)
	expected := options.ExpectedRevision
	if expected == 0 {
		message, err := r.Get(ctx, c, name)
		if err != nil {
			return err
		}
		expected = Revision(message)
	}
	response, err := r.Remove(ctx, c, &operatorv1.DeleteRequest{RequestID: options.EnsureRequestID(), ExpectedRevision: expected, Name: name})
	return options.Report(io, "Deleted", response, err)
}

// Confirm asks a question and returns an error unless the answer is "y".
func Confirm(io *streams.Streams, question string) error {
	if !io.Interactive {
		return exit.Usagef("--yes is required when standard input is not a terminal")
	}
	if _, err := fmt.Fprintf(io.ErrOut, "%s [y/N] ", question); err != nil {
		return err
	}
	answer, err := bufio.NewReader(io.In).ReadString('\n')
	if err != nil {
		return err
	}
	if strings.EqualFold(strings.TrimSpace(answer), "y") {
		return nil
	}
	return errors.New("not confirmed; nothing was changed")
}

// Revision returns the revision of an entity.
func Revision(message proto.Message) uint64 {
	versioned, ok := message.(interface{ GetRevision() uint64 })
	if !ok {
		panic("resource: message has no Revision field")
	}
	return versioned.GetRevision()
}

// CloseClient closes c and stores the error in err unless err is already set.
// Call it with defer.
func CloseClient(c *client.Client, err *error) {
	if closeErr := c.Close(); *err == nil {
		*err = closeErr
	}
}
