package rpc

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

const token = "correct horse"

// testServer is a server with an in-memory change log, and a client connection
// to it.
type testServer struct {
	store     *table.Memory
	state     *state.State
	server    *Server
	conn      *grpc.ClientConn
	logOutput *bytes.Buffer
}

func digestOf(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:])
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	r := &testServer{store: table.NewMemory(), state: state.New(), logOutput: &bytes.Buffer{}}
	log := changelog.New(changelog.Config{Table: r.store.Client(), Clock: clock.System(), Prefix: "Config"})
	logger := logrus.New()
	logger.SetOutput(r.logOutput)
	server, err := New(Config{
		Settings: ini.Operator{
			Listen:          "127.0.0.1:0",
			MaxMessageBytes: 1 << 20,
			Tokens:          map[string]string{"alice": digestOf(token), "mallory": digestOf("bs_1_caller")},
		},
		State: r.state,
		Propose: func(ctx context.Context, proposal changelog.Proposal) (Outcome, error) {
			change, err := log.Append(ctx, proposal)
			if err != nil {
				return Outcome{}, err
			}
			outcome := Outcome{Sequence: change.Sequence, Revisions: map[string]uint64{}, Confirmed: []string{"entry-1"}}
			for _, write := range change.Writes {
				outcome.Revisions[write.Entity] = write.Revision
			}
			return outcome, r.state.Apply(change)
		},
		FindChange:   log.FindByRequestID,
		ChangesAfter: log.Tail,
		UsageWindows: func(context.Context, int) ([]SealedWindow, error) {
			return []SealedWindow{
				{Window: usage.Window{Number: 2, Start: 2000, Lines: []usage.Line{{Team: "everest"}, {Team: "lhotse"}}}},
				{Window: usage.Window{Number: 1, Start: 1000}, Reported: true},
			}, nil
		},
		FleetStatus: func(context.Context) (*operatorv1.FleetStatus, error) { panic("no fleet") },
	}, logger)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	r.server = server
	r.conn, err = grpc.NewClient(server.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.conn.Close() })
	return r
}

func withToken(bearer string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+bearer)
}

func putTeam(r *testServer, requestID, name string, expected uint64, weight int32) (*operatorv1.ChangeResponse, error) {
	return operatorv1.NewTeamsClient(r.conn).Put(withToken(token), &operatorv1.PutTeamRequest{
		RequestID: requestID, ExpectedRevision: expected, Team: &operatorv1.Team{Name: name, Weight: weight},
	})
}

func wantCode(t *testing.T, err error, want codes.Code) {
	t.Helper()
	if status.Code(err) != want {
		t.Errorf("got error %v, want code %v", err, want)
	}
}

func TestUnauthenticatedCallsAreRefused(t *testing.T) {
	r := newTestServer(t)
	contexts := map[string]context.Context{
		"no token":           context.Background(),
		"wrong token":        withToken("wrong"),
		"empty token":        withToken(""),
		"digest as token":    withToken(digestOf(token)),
		"a caller's key":     withToken("bs_1_caller"),
		"two tokens":         metadata.AppendToOutgoingContext(withToken(token), "authorization", "Bearer x"),
		"another scheme":     metadata.AppendToOutgoingContext(context.Background(), "authorization", "Basic "+token),
		"a caller's headers": metadata.AppendToOutgoingContext(context.Background(), "operator", "alice"),
	}
	methods := 0
	for service, info := range r.server.grpc.GetServiceInfo() {
		for _, method := range info.Methods {
			methods++
			for name, ctx := range contexts {
				err := r.conn.Invoke(ctx, "/"+service+"/"+method.Name, &operatorv1.ListRequest{}, &operatorv1.ListRequest{})
				if status.Code(err) != codes.Unauthenticated {
					t.Errorf("%s: %s.%s returned %v, want code Unauthenticated", name, service, method.Name, err)
				}
			}
		}
	}
	if methods < 25 {
		t.Errorf("called %d methods, want at least 25", methods)
	}
	if _, err := putTeam(r, "r1", "everest", 0, 1); err != nil {
		t.Error(err)
	}
	if strings.Contains(r.logOutput.String(), token) || strings.Contains(r.logOutput.String(), "bs_1") {
		t.Error("the log contains a token")
	}
}

func TestChangeIsIdempotentByRequestID(t *testing.T) {
	r := newTestServer(t)
	first, err := putTeam(r, "r1", "everest", 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	again, err := putTeam(r, "r1", "everest", 0, 1)
	if err != nil || again.GetSequence() != first.GetSequence() {
		t.Errorf("retry returned %v, %v; want the sequence of the first call", again, err)
	}
	_, err = putTeam(r, "r1", "lhotse", 0, 1)
	wantCode(t, err, codes.AlreadyExists)
	_, err = putTeam(r, "r2", "everest", 0, 2)
	wantCode(t, err, codes.Aborted)
	_, err = putTeam(r, "r3", "everest", first.GetRevisions()[0].GetRevision(), 2)
	wantCode(t, err, codes.OK)
}

func TestOneOfConcurrentChangesSucceeds(t *testing.T) {
	const operators = 8
	r := newTestServer(t)
	if _, err := putTeam(r, "t", "everest", 0, 1); err != nil {
		t.Fatal(err)
	}
	outcomes := make(chan codes.Code, operators)
	for i := range operators {
		go func() {
			_, err := putTeam(r, fmt.Sprintf("r%d", i), "everest", 1, int32(i+2))
			outcomes <- status.Code(err)
		}()
	}
	counts := map[codes.Code]int{}
	for range operators {
		counts[<-outcomes]++
	}
	if counts[codes.OK] != 1 || counts[codes.Aborted] != operators-1 {
		t.Errorf("got outcomes %v, want 1 OK and all others Aborted", counts)
	}
}

// TestRetryAfterTheWorldMovedOn retries the deletion of a team after the team
// was created again and given a key. As a new change it would be refused, but a
// retry must return the outcome of the first attempt.
func TestRetryAfterTheWorldMovedOn(t *testing.T) {
	r := newTestServer(t)
	if _, err := putTeam(r, "t", "everest", 0, 1); err != nil {
		t.Fatal(err)
	}
	keys := operatorv1.NewKeysClient(r.conn)
	created, err := keys.Create(withToken(token), &operatorv1.CreateKeyRequest{RequestID: "k", Team: "everest"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := keys.Withdraw(withToken(token), &operatorv1.WithdrawKeyRequest{RequestID: "w", ID: created.GetKey().GetID()}); err != nil {
		t.Fatal(err)
	}
	remove := &operatorv1.DeleteRequest{RequestID: "d", Name: "everest", ExpectedRevision: 1}
	first, err := operatorv1.NewTeamsClient(r.conn).Delete(withToken(token), remove)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := putTeam(r, "t2", "everest", 0, 1); err != nil {
		t.Fatal(err)
	}
	if _, err := keys.Create(withToken(token), &operatorv1.CreateKeyRequest{RequestID: "k2", Team: "everest"}); err != nil {
		t.Fatal(err)
	}
	again, err := operatorv1.NewTeamsClient(r.conn).Delete(withToken(token), remove)
	if err != nil || again.GetSequence() != first.GetSequence() {
		t.Errorf("retry returned %v, %v; want sequence %d", again, err, first.GetSequence())
	}
	_, err = operatorv1.NewTeamsClient(r.conn).Delete(withToken(token), &operatorv1.DeleteRequest{RequestID: "d2", Name: "everest", ExpectedRevision: 5})
	wantCode(t, err, codes.FailedPrecondition)
}

func TestStoreFailures(t *testing.T) {
	r := newTestServer(t)
	r.store.SetFault(table.Fault{Down: true})
	_, err := putTeam(r, "r1", "everest", 0, 1)
	wantCode(t, err, codes.Unavailable)
	r.store.SetFault(table.Fault{LoseAnswers: true})
	if _, err = putTeam(r, "r1", "everest", 0, 1); err != nil {
		t.Errorf("after a lost response: got error %v, want none", err)
	}
}

func TestInvalidChangesNameTheField(t *testing.T) {
	r := newTestServer(t)
	if _, err := putTeam(r, "t", "everest", 0, 1); err != nil {
		t.Fatal(err)
	}
	route := &operatorv1.Route{Name: "chat", Backend: "none", Classes: []string{"none"}}
	oversized := &operatorv1.Class{Name: "c", FirstTokenTargetMillis: 1, MaxWaitMillis: 1, GuaranteedShare: 2}
	tests := []struct {
		name string
		call func() error
		code codes.Code
		want string
	}{
		{"no request ID", func() error { _, err := putTeam(r, "", "x", 0, 1); return err }, codes.InvalidArgument, "RequestID"},
		{"slash in request ID", func() error { _, err := putTeam(r, "a/b", "x", 0, 1); return err }, codes.InvalidArgument, "RequestID"},
		{"long request ID", func() error { _, err := putTeam(r, strings.Repeat("a", 200), "x", 0, 1); return err }, codes.InvalidArgument, "RequestID"},
		{"weight", func() error { _, err := putTeam(r, "r", "x", 0, 0); return err }, codes.InvalidArgument, "Weight"},
		{"name", func() error { _, err := putTeam(r, "r", "a b", 0, 1); return err }, codes.InvalidArgument, "name"},
		{"no team", func() error {
			_, err := operatorv1.NewTeamsClient(r.conn).Put(withToken(token), &operatorv1.PutTeamRequest{RequestID: "r"})
			return err
		}, codes.InvalidArgument, "name"},
		{"share", func() error {
			_, err := operatorv1.NewClassesClient(r.conn).Put(withToken(token), &operatorv1.PutClassRequest{RequestID: "r", Class: oversized})
			return err
		}, codes.InvalidArgument, "GuaranteedShare"},
		{"text", func() error {
			backend := &operatorv1.Backend{Name: "b", Type: "Model", Model: "m\n[Team x]", Slots: 1}
			_, err := operatorv1.NewBackendsClient(r.conn).Put(withToken(token), &operatorv1.PutBackendRequest{RequestID: "r", Backend: backend})
			return err
		}, codes.InvalidArgument, "Model"},
		{"reference to nothing", func() error {
			_, err := operatorv1.NewRoutesClient(r.conn).Put(withToken(token), &operatorv1.PutRouteRequest{RequestID: "r", Route: route})
			return err
		}, codes.FailedPrecondition, "Route.Backend"},
		{"key of no team", func() error {
			_, err := operatorv1.NewKeysClient(r.conn).Create(withToken(token), &operatorv1.CreateKeyRequest{RequestID: "r", Team: "k2"})
			return err
		}, codes.FailedPrecondition, "Key.Team"},
		{"delete without revision", func() error {
			_, err := operatorv1.NewTeamsClient(r.conn).Delete(withToken(token), &operatorv1.DeleteRequest{RequestID: "r", Name: "everest"})
			return err
		}, codes.InvalidArgument, "ExpectedRevision"},
		{"empty apply", func() error {
			_, err := operatorv1.NewConfigClient(r.conn).Apply(withToken(token), &operatorv1.ApplyRequest{RequestID: "r"})
			return err
		}, codes.InvalidArgument, "Changes"},
		{"apply of nothing", func() error {
			_, err := operatorv1.NewConfigClient(r.conn).Apply(withToken(token), &operatorv1.ApplyRequest{RequestID: "r", Changes: []*operatorv1.EntityChange{{}}})
			return err
		}, codes.InvalidArgument, "entry 0"},
		{"limit", func() error {
			_, err := operatorv1.NewAuditClient(r.conn).List(withToken(token), &operatorv1.ListAuditRequest{Limit: -1})
			return err
		}, codes.InvalidArgument, "Limit"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.call()
			wantCode(t, err, test.code)
			if !strings.Contains(status.Convert(err).Message(), test.want) {
				t.Errorf("got message %q, want it to contain %s", status.Convert(err).Message(), test.want)
			}
			if test.code == codes.InvalidArgument && fieldOf(err) == "" {
				t.Errorf("details of %v name no field", err)
			}
		})
	}
	if r.state.Sequence() != 1 {
		t.Errorf("got sequence %d, want 1", r.state.Sequence())
	}
}

func fieldOf(err error) string {
	for _, detail := range status.Convert(err).Details() {
		if request, ok := detail.(*errdetails.BadRequest); ok {
			return request.GetFieldViolations()[0].GetField()
		}
	}
	return ""
}

func TestSecretIsReturnedOnceAndStoredAsHash(t *testing.T) {
	r := newTestServer(t)
	keys := operatorv1.NewKeysClient(r.conn)
	if _, err := putTeam(r, "t", "everest", 0, 1); err != nil {
		t.Fatal(err)
	}
	created, err := keys.Create(withToken(token), &operatorv1.CreateKeyRequest{RequestID: "k", Team: "everest"})
	if err != nil {
		t.Fatal(err)
	}
	secret := created.GetSecret()
	if _, _, err := r.state.Authenticate(sha256.Sum256([]byte(secret))); err != nil {
		t.Errorf("authenticate with the new key: %v", err)
	}
	_, err = keys.Create(withToken(token), &operatorv1.CreateKeyRequest{RequestID: "k", Team: "everest"})
	wantCode(t, err, codes.AlreadyExists)
	random := strings.Split(secret, "_")[2]
	rows, _ := r.store.Client().Scan(context.Background(), "", "", 100)
	for _, row := range rows {
		if bytes.Contains(row.Value, []byte(random)) {
			t.Errorf("row %s contains the secret", row.Key)
		}
	}
	if strings.Contains(r.logOutput.String(), random) {
		t.Error("the log contains the secret")
	}
	if _, err = keys.Withdraw(withToken(token), &operatorv1.WithdrawKeyRequest{RequestID: "w", ID: created.GetKey().GetID()}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.state.Authenticate(sha256.Sum256([]byte(secret))); err == nil {
		t.Error("the withdrawn key still authenticates")
	}
	err = applyKey(r, created.GetKey(), secret)
	wantCode(t, err, codes.InvalidArgument)
	audit, err := operatorv1.NewAuditClient(r.conn).List(withToken(token), &operatorv1.ListAuditRequest{Limit: 2, Latest: true})
	if err != nil || len(audit.GetEntries()) != 2 {
		t.Fatalf("got audit entries %v, error %v; want 2 entries", audit, err)
	}
	last := audit.GetEntries()[1]
	if last.GetActor() != "alice" || last.GetAction() != "Edit" || !strings.Contains(last.GetAfter(), `"Withdrawn":true`) || strings.Contains(last.GetAfter(), "Hash") {
		t.Errorf("got last entry %v, want alice's edit that withdraws the key, without its hash", last)
	}
}

// applyKey tries to reinstate a withdrawn key.
func applyKey(r *testServer, key *operatorv1.Key, secret string) error {
	hash := sha256.Sum256([]byte(secret))
	change := &operatorv1.EntityChange{
		ExpectedRevision: r.state.Revision("Key", key.GetID()),
		Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Key{Key: &operatorv1.Key{
			ID: key.GetID(), Team: key.GetTeam(), Hash: hash[:],
		}}},
	}
	_, err := operatorv1.NewConfigClient(r.conn).Apply(withToken(token), &operatorv1.ApplyRequest{RequestID: "back", Changes: []*operatorv1.EntityChange{change}})
	return err
}

func TestExportReturnsAppliedEntities(t *testing.T) {
	r := newTestServer(t)
	client := operatorv1.NewConfigClient(r.conn)
	changes := []*operatorv1.EntityChange{
		{Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Route{Route: &operatorv1.Route{Name: "chat", Backend: "big", Classes: []string{"quick"}, Teams: []string{"everest"}}}}},
		{Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Team{Team: &operatorv1.Team{Name: "everest", Weight: 3}}}},
		{Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Class{Class: &operatorv1.Class{Name: "quick", FirstTokenTargetMillis: 780, MaxWaitMillis: 1000}}}},
		{Entity: &operatorv1.Entity{Value: &operatorv1.Entity_Backend{Backend: &operatorv1.Backend{Name: "big", Type: "Model", Model: "m", MaxEndpoints: 2, Slots: 4}}}},
	}
	dry, err := client.Apply(withToken(token), &operatorv1.ApplyRequest{Changes: changes, DryRun: true})
	if err != nil || r.state.Sequence() != 0 {
		t.Fatalf("dry run returned error %v and left sequence %d, want no error and sequence 0", err, r.state.Sequence())
	}
	if dry.GetChange() != nil || len(dry.GetDifferences()) < 8 {
		t.Errorf("dry run returned %v, want no change and at least 8 differences", dry)
	}
	if _, err := client.Apply(withToken(token), &operatorv1.ApplyRequest{RequestID: "a", Changes: changes}); err != nil {
		t.Fatal(err)
	}
	exported, err := client.Export(withToken(token), &operatorv1.ExportRequest{})
	if err != nil || len(exported.GetEntities()) != 4 || exported.GetSequence() != 1 {
		t.Errorf("export returned %v, %v; want 4 entities at sequence 1", exported, err)
	}
	_, err = operatorv1.NewBackendsClient(r.conn).Delete(withToken(token), &operatorv1.DeleteRequest{RequestID: "d", Name: "big", ExpectedRevision: 1})
	wantCode(t, err, codes.FailedPrecondition)
}

func TestUsageIsFiltered(t *testing.T) {
	r := newTestServer(t)
	client := operatorv1.NewUsageClient(r.conn)
	all, err := client.List(withToken(token), &operatorv1.ListUsageRequest{Team: "lhotse", SinceUnixMillis: 1500})
	if err != nil || len(all.GetWindows()) != 1 || len(all.GetWindows()[0].GetLines()) != 1 {
		t.Errorf("got usage %v, error %v; want 1 window with 1 line", all, err)
	}
}

func TestPanicAndLargeMessageFailOneCall(t *testing.T) {
	r := newTestServer(t)
	_, err := operatorv1.NewFleetClient(r.conn).Status(withToken(token), &operatorv1.FleetStatusRequest{})
	wantCode(t, err, codes.Internal)
	_, err = putTeam(r, "r1", strings.Repeat("x", 2<<20), 0, 1)
	wantCode(t, err, codes.ResourceExhausted)
	_, err = putTeam(r, "r2", "everest", 0, 1)
	wantCode(t, err, codes.OK)
}

// rawCodec sends bytes as they are.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }
func (rawCodec) Unmarshal([]byte, any) error   { return nil }
func (rawCodec) Name() string                  { return "proto" }

// TestUnauthenticatedMessagesAreNotDecoded sends a message that cannot be
// decoded. Only an operator gets the decoding error: a call without a valid
// token is refused before its message is read.
func TestUnauthenticatedMessagesAreNotDecoded(t *testing.T) {
	r := newTestServer(t)
	const method = "/banyanshift.operator.v1.Teams/Put"
	malformed := bytes.Repeat([]byte{0xff}, 100)
	err := r.conn.Invoke(withToken("wrong"), method, malformed, nil, grpc.ForceCodec(rawCodec{}))
	wantCode(t, err, codes.Unauthenticated)
	err = r.conn.Invoke(withToken(token), method, malformed, nil, grpc.ForceCodec(rawCodec{}))
	wantCode(t, err, codes.Internal)
	err = r.conn.Invoke(withToken("wrong"), "/banyanshift.operator.v1.Teams/Nope", []byte{}, nil, grpc.ForceCodec(rawCodec{}))
	wantCode(t, err, codes.Unauthenticated)
	err = r.conn.Invoke(withToken(token), "/banyanshift.operator.v1.Teams/Nope", []byte{}, nil, grpc.ForceCodec(rawCodec{}))
	wantCode(t, err, codes.Unimplemented)
	if !strings.Contains(r.logOutput.String(), "Peer=\"127.0.0.1:") {
		t.Errorf("the log does not contain the client's address: %s", r.logOutput)
	}
}

// TestMalformedFramesDoNotAffectOperators sends bytes that are not HTTP/2 and
// frames that violate the protocol. The server must close these connections and
// keep serving operators.
func TestMalformedFramesDoNotAffectOperators(t *testing.T) {
	r := newTestServer(t)
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	random := make([]byte, 4096)
	_, _ = rand.Read(random)
	inputs := [][]byte{
		nil,
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		random,
		append([]byte(preface), random...),
		[]byte(preface + "\xff\xff\xff\x00\x00\x00\x00\x00\x01"),
		[]byte(preface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x05\x01\x04\x00\x00\x00\x01\xff\xff\xff\xff\xff"),
		[]byte(preface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x04\x00\x00\x00\x00\x00\x01abcd"),
	}
	for i, input := range inputs {
		conn, err := net.Dial("tcp", r.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(input)
		if i != 0 {
			_ = conn.(*net.TCPConn).CloseWrite()
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Errorf("input %d: the server did not close the connection within 20s", i)
			}
		}
		conn.Close()
	}
	if _, err := putTeam(r, "r", "everest", 0, 1); err != nil {
		t.Error(err)
	}
}

// TestConnectionsPerAddressAreLimited opens connections from one address until
// one is refused. After one of them is closed, an operator can connect from the
// same address.
func TestConnectionsPerAddressAreLimited(t *testing.T) {
	r := newTestServer(t)
	var conns []net.Conn
	for range maxConnectionsPerAddress {
		conn, err := net.Dial("tcp", r.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	refused, err := net.Dial("tcp", r.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	_ = refused.SetReadDeadline(time.Now().Add(20 * time.Second))
	// On an accepted connection the server sends the first bytes.
	if n, err := refused.Read(make([]byte, 1)); err == nil || n > 0 {
		t.Error("the server accepted a connection beyond the limit, want it closed")
	}
	conns[0].Close()
	ctx, cancel := context.WithTimeout(withToken(token), 20*time.Second)
	defer cancel()
	_, err = operatorv1.NewTeamsClient(r.conn).List(ctx, &operatorv1.ListRequest{}, grpc.WaitForReady(true))
	wantCode(t, err, codes.OK)
}
