package root

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/operator/rpc"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

const token = "correct horse"

// rig runs commands against a server over a change log in memory.
type rig struct {
	t        *testing.T
	memory   *table.Memory
	pending  bool
	address  string
	token    string
	terminal bool
	input    string
	// sleep runs in place of each pause of a command.
	sleep func()
	serve func(context.Context, ini.Settings, *logrus.Logger) error
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, memory: table.NewMemory(), token: token}
	current := state.New()
	log := changelog.New(changelog.Config{Table: r.memory.Client(), Clock: clock.System(), Prefix: "Config"})
	digest := sha256.Sum256([]byte(token))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server, err := rpc.New(rpc.Config{
		Settings: ini.Operator{
			Listen:          "127.0.0.1:0",
			MaxMessageBytes: 1 << 20,
			Tokens:          map[string]string{"alice": hex.EncodeToString(digest[:])},
		},
		State: current,
		Propose: func(ctx context.Context, proposal changelog.Proposal) (rpc.Outcome, error) {
			change, err := log.Append(ctx, proposal)
			if err != nil {
				return rpc.Outcome{}, err
			}
			outcome := rpc.Outcome{Sequence: change.Sequence, Revisions: map[string]uint64{}, Confirmed: []string{"entry-1"}, Unconfirmed: []string{"entry-2"}, Pending: r.pending}
			for _, write := range change.Writes {
				outcome.Revisions[write.Entity] = write.Revision
			}
			return outcome, current.Apply(change)
		},
		FindChange:   log.FindByRequestID,
		ChangesAfter: log.Tail,
		UsageWindows: func(context.Context, int) ([]rpc.SealedWindow, error) {
			line := usage.Line{Team: "everest", Class: "quick", Backend: "big", Requests: 3, PromptTokens: 40, OutputTokens: 50}
			return []rpc.SealedWindow{{Window: usage.Window{Number: 1, Scope: "sask-central", Start: 1000, End: 61000, Lines: []usage.Line{line}}, Reported: true}}, nil
		},
		FleetStatus: func(context.Context) (*operatorv1.FleetStatus, error) {
			return &operatorv1.FleetStatus{
				AnsweredBy:     "entry-1",
				StoreReachable: true,
				Daemons:        []*operatorv1.Daemon{{ID: "entry-1", State: "Alive"}},
				Classes:        []*operatorv1.ClassStatus{{Name: "quick", FirstTokens: 8, InTime: 7}},
				Leases:         []*operatorv1.Lease{{Scope: "sask-central", Holder: "entry-1", Fence: 4}},
			}, nil
		},
	}, logger)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	r.address = server.Address()
	return r
}

// run executes a command line and returns what it printed and its exit code.
func (r *rig) run(args ...string) (stdout, stderr string, code exit.Code) {
	var out, errOut bytes.Buffer
	f := factory.New(r.serve)
	*f.IO = streams.Streams{In: strings.NewReader(r.input), Out: &out, ErrOut: &errOut, OutIsTerminal: r.terminal, Interactive: r.input != ""}
	f.Clock.Sleep = func(ctx context.Context, _ clock.Millis) error {
		if r.sleep != nil {
			r.sleep()
		}
		return ctx.Err()
	}
	environment := map[string]string{factory.ServerVariable: r.address, factory.TokenVariable: r.token}
	f.Getenv = func(name string) string { return environment[name] }
	code = exit.Code(Main(f, args))
	return out.String(), errOut.String(), code
}

// must runs a command line that has to end with the code.
func (r *rig) must(want exit.Code, args ...string) (stdout, stderr string) {
	r.t.Helper()
	stdout, stderr, code := r.run(args...)
	if code != want {
		r.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, stdout, stderr)
	}
	return stdout, stderr
}

func (r *rig) file(text string) string {
	path := filepath.Join(r.t.TempDir(), "fleet.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

const fleet = `[Team everest]
Weight = 2

[Class quick]
FirstTokenTarget = 780ms
GuaranteedShare = 0.25
MaxWait = 2s

[Backend big]
Type = Model
Model = m
MaxEndpoints = 9
Slots = 16

[Route chat]
Backend = big
Classes = quick
Teams = everest

`

func TestTeamFromCreateToDelete(t *testing.T) {
	r := newRig(t)
	out, stderr := r.must(exit.OK, "team", "create", "everest", "--weight", "2")
	if out != "Created\tTeam\teverest\t1\n" || !strings.Contains(stderr, "entry-2") {
		t.Errorf("create printed %q and %q", out, stderr)
	}
	r.must(exit.Conflict, "team", "create", "everest")
	r.must(exit.OK, "team", "edit", "everest", "--disabled")
	out, _ = r.must(exit.OK, "team", "list")
	if out != "everest\t2\ttrue\t2\n" {
		t.Errorf("list printed %q", out)
	}
	out, _ = r.must(exit.OK, "team", "view", "everest", "--json=Name,Weight")
	if out != `{"Name":"everest","Weight":2}`+"\n" {
		t.Errorf("view printed %q", out)
	}
	r.must(exit.Conflict, "team", "edit", "everest", "--weight", "3", "--expected-revision", "1")
	r.must(exit.Usage, "team", "delete", "everest")
	r.input = "n\n"
	r.must(exit.Failed, "team", "delete", "everest")
	r.input = "y\n"
	r.must(exit.OK, "team", "delete", "everest")
	r.must(exit.NotFound, "team", "view", "everest")
}

func TestTerminalShowsTables(t *testing.T) {
	r := newRig(t)
	r.must(exit.OK, "apply", "-f", r.file(fleet))
	r.terminal = true
	out, _ := r.must(exit.OK, "class", "list")
	want := "NAME   TIER  FIRST TOKEN TARGET  BETWEEN TOKENS TARGET  GUARANTEED SHARE  REFUSE EARLY  MAX WAIT  REVISION\n" +
		"quick  0     780ms               0s                     0.25              false         2s        1\n"
	if out != want {
		t.Errorf("list printed\n%s", out)
	}
	out, _ = r.must(exit.OK, "status")
	for _, part := range []string{"ANSWERED BY", "reachable", "entry-1", "87.5%", "sask-central"} {
		if !strings.Contains(out, part) {
			t.Errorf("status lacks %q:\n%s", part, out)
		}
	}
}

func TestRequestIDMakesAChangeOnce(t *testing.T) {
	r := newRig(t)
	first, _ := r.must(exit.OK, "team", "create", "everest", "--request-id", "r1")
	again, _ := r.must(exit.OK, "team", "create", "everest", "--request-id", "r1")
	if first != again {
		t.Errorf("first printed %q, again %q", first, again)
	}
	r.must(exit.Conflict, "team", "create", "lhotse", "--request-id", "r1")
	r.memory.SetFault(table.Fault{Down: true})
	_, stderr := r.must(exit.Unavailable, "team", "create", "lhotse")
	if !regexp.MustCompile(`--request-id [0-9a-f]{32}`).MatchString(stderr) {
		t.Errorf("printed %q", stderr)
	}
}

func TestKeyIsShownOnce(t *testing.T) {
	r := newRig(t)
	r.must(exit.OK, "team", "create", "everest")
	out, _ := r.must(exit.OK, "key", "create", "--team", "everest")
	row := strings.Split(strings.TrimSpace(out), "\t")
	if len(row) != 3 || !strings.HasPrefix(row[2], "bs_"+row[0]+"_") {
		t.Fatalf("create printed %q", out)
	}
	out, _ = r.must(exit.OK, "key", "list", "--json")
	if strings.Contains(out, row[2]) || !strings.Contains(out, row[0]) {
		t.Errorf("list printed %q", out)
	}
	r.pending = true
	r.must(exit.Pending, "key", "withdraw", row[0])
	out, _ = r.must(exit.OK, "key", "list")
	if out != "" {
		t.Errorf("list shows the withdrawn key: %q", out)
	}
	out, _ = r.must(exit.OK, "audit", "list", "--json")
	if strings.Contains(out, row[2]) || !strings.Contains(out, `"Actor":"alice"`) {
		t.Errorf("audit printed %q", out)
	}
}

func TestApplyAndExport(t *testing.T) {
	r := newRig(t)
	path := r.file(fleet)
	out, _ := r.must(exit.OK, "apply", "-f", path, "--dry-run")
	if !strings.Contains(out, "Create\tRoute\tchat\tBackend\t\tbig\n") {
		t.Errorf("dry run printed\n%s", out)
	}
	if out, _ = r.must(exit.OK, "team", "list"); out != "" {
		t.Errorf("the dry run made teams: %q", out)
	}
	r.must(exit.OK, "apply", "-f", path)
	out, _ = r.must(exit.OK, "config", "export")
	if out != "# Configuration after change 1.\n\n"+fleet {
		t.Errorf("export printed\n%s", out)
	}
	r.input = out
	_, stderr := r.must(exit.OK, "config", "apply", "-f", "-")
	if !strings.Contains(stderr, "Nothing to change.") {
		t.Errorf("apply of the export printed %q", stderr)
	}
	out, _ = r.must(exit.OK, "apply", "--dry-run", "-f", r.file("[Class quick]\nFirstTokenTarget = 1s\nGuaranteedShare = 0.25\nMaxWait = 2s\n"))
	if out != "Edit\tClass\tquick\tFirstTokenTarget\t780ms\t1s\n" {
		t.Errorf("dry run printed %q", out)
	}
	_, stderr = r.must(exit.Failed, "apply", "-f", r.file("[Backend big]\nDelete = true\n"))
	if !strings.Contains(stderr, `used by route "chat"`) {
		t.Errorf("apply printed %q", stderr)
	}
	r.must(exit.OK, "apply", "-f", r.file("[Backend big]\nDelete = true\n[Route chat]\nDelete = true\n"))
}

func TestLargeFileIsAppliedInParts(t *testing.T) {
	r := newRig(t)
	var file, deletions strings.Builder
	file.WriteString("[Route chat]\nBackend = big\nClasses = quick\nTeams = t7\n[Class quick]\nFirstTokenTarget = 1s\nMaxWait = 1s\n" +
		"[Backend big]\nType = Model\nModel = m\nMaxEndpoints = 1\nSlots = 1\n")
	deletions.WriteString("[Team t7]\nDelete = true\n[Class quick]\nDelete = true\n[Backend big]\nDelete = true\n[Route chat]\nDelete = true\n")
	for i := range 1200 {
		fmt.Fprintf(&file, "[Team t%d]\nWeight = 1\n", i)
		if i != 7 {
			fmt.Fprintf(&deletions, "[Team t%d]\nDelete = true\n", i)
		}
	}
	path := r.file(file.String())
	r.must(exit.Usage, "apply", "-f", path)
	out, _ := r.must(exit.OK, "apply", "-f", path, "--dry-run")
	if lines := strings.Count(out, "\n"); lines < 1203 {
		t.Errorf("dry run printed %d lines", lines)
	}
	pauses := 0
	r.sleep = func() {
		pauses++
		r.memory.SetFault(table.Fault{Down: pauses == 2 || pauses == 3})
	}
	r.must(exit.OK, "apply", "-f", path, "--in-parts")
	if pauses != 9 {
		t.Errorf("paused %d times, want 7 between parts and 2 while the store is down", pauses)
	}
	r.sleep = nil
	out, _ = r.must(exit.OK, "config", "export")
	if got := strings.Count(out, "[Team "); got != 1200 || !strings.Contains(out, "[Route chat]") {
		t.Errorf("export has %d teams", got)
	}
	r.must(exit.OK, "apply", "-f", r.file(deletions.String()), "--in-parts")
	if out, _ = r.must(exit.OK, "config", "export"); strings.Contains(out, "[") {
		t.Errorf("export still has %q", out[:80])
	}
}

func TestApplyListsAllProblemsWithLines(t *testing.T) {
	r := newRig(t)
	path := r.file("[Teem x]\n[Team]\n[Team a]\nWeight = x\nSize = 1\nDelete = no\nName = b\n")
	_, stderr := r.must(exit.Usage, "apply", "-f", path)
	for _, want := range []string{":1: [Teem x]", ":2: [Team] must", ":4: Weight", ":5: Team: unknown field Size", ":6: Delete", ":7: Name"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("printed %q, lacks %q", stderr, want)
		}
	}
}

func TestRouteTeamsAreAddedAndRemoved(t *testing.T) {
	r := newRig(t)
	r.must(exit.OK, "apply", "-f", r.file(fleet+"[Team lhotse]\nWeight = 1\n"))
	r.must(exit.OK, "route", "edit", "chat", "--add-team", "lhotse", "--remove-team", "everest")
	out, _ := r.must(exit.OK, "route", "list", "--json=Teams")
	if out != `[{"Teams":["lhotse"]}]`+"\n" {
		t.Errorf("list printed %q", out)
	}
	r.must(exit.Failed, "route", "edit", "chat", "--add-team", "nobody")
	r.must(exit.Usage, "route", "edit", "chat")
}

func TestRecords(t *testing.T) {
	r := newRig(t)
	r.must(exit.OK, "team", "create", "everest")
	out, _ := r.must(exit.OK, "usage", "list", "--since", "1970-01-01T00:00:01Z")
	want := "sask-central\t1\t1970-01-01T00:00:01Z\t1970-01-01T00:01:01Z\ttrue\teverest\tquick\tbig\t3\t40\t50\n"
	if out != want {
		t.Errorf("usage printed %q", out)
	}
	out, _ = r.must(exit.OK, "audit", "list", "--after", "0")
	if !strings.Contains(out, "\talice\tCreate\tTeam\teverest\t") || !strings.Contains(out, `{"Name":"everest"`) {
		t.Errorf("audit printed %q", out)
	}
	out, _ = r.must(exit.OK, "fleet", "status", "--json")
	var status map[string]any
	if err := json.Unmarshal([]byte(out), &status); err != nil || status["AnsweredBy"] != "entry-1" {
		t.Errorf("status printed %q: %v", out, err)
	}
}

func TestWrongUseHasItsOwnExitCode(t *testing.T) {
	r := newRig(t)
	for _, line := range []string{
		"bogus", "team bogus", "team create", "team create a b", "team create a --weight x", "team list --json=Nope",
		"class create a", "key create", "apply", "apply -f /nowhere", "usage list --since yesterday",
		"config check /nowhere", "serve", "serve --settings /nowhere", "team create a_b! --weight 1", "team list --nope",
	} {
		_, stderr := r.must(exit.Usage, strings.Fields(line)...)
		if stderr == "" {
			t.Errorf("%s: nothing was said", line)
		}
	}
	r.token = "wrong"
	r.must(exit.Authentication, "team", "list")
	r.token = ""
	r.must(exit.Usage, "team", "list")
}

// TestBrokenConnectionIsNoTrueRefusal takes the connection away during a
// change: the command must not claim that nothing was changed.
func TestBrokenConnectionIsNoTrueRefusal(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, token: token, address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// Settings of a server, so that the client sends its call.
			_, _ = conn.Write([]byte("\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
			buffer := make([]byte, 4096)
			for n := 0; n < 150; {
				read, err := conn.Read(buffer)
				if err != nil {
					break
				}
				n += read
			}
			conn.Close()
		}
	}()
	r.must(exit.Unknown, "key", "withdraw", "k", "--timeout", "20s")
	listener.Close()
	r.must(exit.Unavailable, "key", "withdraw", "k")
}

func TestServeHandsOverCheckedSettings(t *testing.T) {
	r := newRig(t)
	var got ini.Settings
	r.serve = func(_ context.Context, settings ini.Settings, logger *logrus.Logger) error {
		got = settings
		logger.Info("started")
		return errors.New("stopped")
	}
	out, _ := r.must(exit.OK, "config", "example")
	r.must(exit.Usage, "serve", "--settings", r.file("[Daemon]\nID = entry-1\n"))
	ports := regexp.MustCompile(`(?m)^# (Listen = 127\.0\.0\.1):\d+`)
	path := r.file(ports.ReplaceAllString(out, "$1:0"))
	r.must(exit.OK, "config", "check", "--ports", path)
	_, stderr := r.must(exit.Failed, "serve", "--settings", path)
	if got.Daemon.ID != "entry-1" || !strings.Contains(stderr, "started") {
		t.Errorf("settings %+v, printed %q", got.Daemon, stderr)
	}
}

// TestEveryCommandExplainsItself holds the help of all commands complete.
func TestEveryCommandExplainsItself(t *testing.T) {
	r := newRig(t)
	f := factory.New(r.serve)
	var walk func(*cobra.Command)
	walk = func(cmd *cobra.Command) {
		if cmd.Short == "" || strings.HasSuffix(cmd.Short, ".") {
			t.Errorf("%s: short help is %q", cmd.CommandPath(), cmd.Short)
		}
		if cmd.Runnable() && !cmd.HasSubCommands() && cmd.Example == "" {
			t.Errorf("%s has no example", cmd.CommandPath())
		}
		for _, line := range strings.Split(cmd.Example, "\n") {
			if cmd.Example != "" && !strings.Contains(line, "$ ") {
				t.Errorf("%s: example %q", cmd.CommandPath(), line)
			}
		}
		for _, child := range cmd.Commands() {
			walk(child)
		}
	}
	walk(NewCmdRoot(f))
	out, _ := r.must(exit.OK, "completion", "bash")
	if !strings.Contains(out, "banyanshift") {
		t.Error("completion prints no script")
	}
}
