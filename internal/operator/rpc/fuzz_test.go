package rpc

import (
	"context"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/config/state"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// FuzzApply sends arbitrary messages to a dry run of Apply, which must succeed
// or return an error that blames the input.
func FuzzApply(f *testing.F) {
	seeds := []*operatorv1.ApplyRequest{
		{},
		{Changes: []*operatorv1.EntityChange{{}}},
		{Changes: []*operatorv1.EntityChange{{Delete: true, Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Team{}}}}},
		{Changes: []*operatorv1.EntityChange{{Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Key{Key: &operatorv1.Key{ID: "k", Team: "t", Hash: []byte{1}}}}}}},
		{Changes: []*operatorv1.EntityChange{{Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Class{Class: &operatorv1.Class{Name: "c", Tier: -1}}}}}},
	}
	for _, seed := range seeds {
		encoded, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	service := &configService{server: &Server{config: Config{State: state.New()}}}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		req := &operatorv1.ApplyRequest{}
		if proto.Unmarshal(encoded, req) != nil {
			return
		}
		req.DryRun = true
		_, err := service.Apply(context.Background(), req)
		switch status.Code(err) {
		case codes.OK, codes.InvalidArgument, codes.FailedPrecondition:
		default:
			t.Errorf("Apply returned %v, want OK, InvalidArgument or FailedPrecondition", err)
		}
	})
}
