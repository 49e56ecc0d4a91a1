package ini

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const minimal = `[Daemon]
ID = entry-1
Region = sask-central
FailureDomain = sask-central-a
[Platform]
TableURL = http://127.0.0.1:9000
ObjectURL = http://127.0.0.1:9000
VMListURL = http://127.0.0.1:9000
OrderURL = http://127.0.0.1:9000
UsageURL = http://127.0.0.1:9000
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "banyanshift.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadFillsDefaults(t *testing.T) {
	digest := strings.Repeat("Ab", 32)
	settings, err := Load(writeFile(t, minimal+"[Caller]\nReadTimeout = 1m30s\nMaxBodyBytes = 2MiB\n[Operator.Tokens]\nalice = "+digest+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Caller.ReadTimeout != 90*clock.Second || settings.Caller.MaxBodyBytes != 2<<20 {
		t.Errorf("caller settings are %+v, want ReadTimeout 1m30s and MaxBodyBytes 2MiB", settings.Caller)
	}
	if settings.Caller.IdleTimeout != clock.Minute || settings.Daemon.Policy != "Broker" {
		t.Errorf("defaults are missing: %+v", settings)
	}
	if settings.Operator.Tokens["alice"] != strings.ToLower(digest) {
		t.Errorf("tokens are %v, want alice's digest in lower case", settings.Operator.Tokens)
	}
}

func TestExampleIsValidAndNamesEverything(t *testing.T) {
	example := Example()
	if _, err := Load(writeFile(t, example)); err != nil {
		t.Errorf("Load of the example: %v", err)
	}
	for _, field := range Fields() {
		if !strings.Contains(example, field.Name+" = ") {
			t.Errorf("the example lacks %s.%s", field.Section, field.Name)
		}
	}
	files := map[string]bool{"Certificate": true, "CertificateKey": true, "CertificateAuthority": true}
	var all []string
	for _, line := range strings.Split(example, "\n") {
		name, _, found := strings.Cut(strings.TrimPrefix(line, "# "), " = ")
		if found && !strings.Contains(name, " ") && !files[name] {
			line = strings.TrimPrefix(line, "# ")
		}
		all = append(all, line)
	}
	if _, err := Load(writeFile(t, strings.Join(all, "\n"))); err != nil {
		t.Errorf("Load of the example with all settings uncommented: %v", err)
	}
}

func TestProblemsNameLineAndRemedy(t *testing.T) {
	tests := []struct {
		name, text string
		line       int
		want       string
	}{
		{"unknown section", "[Calller]\n", 11, "there is no section [Calller]; valid names are Daemon, Caller"},
		{"section in another case", "[caller]\n", 11, "did you mean Caller?"},
		{"unknown key", "[Log]\nLevels = info\n", 12, "section [Log] has no Levels; valid names are Level, Format"},
		{"key in snake case", "[Caller]\nread_timeout = 5s\n", 12, "did you mean ReadTimeout?"},
		{"missing unit", "[Caller]\nReadTimeout = 30\n", 12, "must be a duration with a unit"},
		{"wrong unit", "[Caller]\nMaxBodyBytes = 4MB\n", 12, "must be a size with a unit"},
		{"fraction of a millisecond", "[Caller]\nReadTimeout = 1500500us\n", 12, "must be a whole number of milliseconds"},
		{"range", "[Caller]\nReadTimeout = 2ms\n", 12, "must be from 1s to 1h"},
		{"negative", "[Caller]\nMaxBodyBytes = -1B\n", 12, "must be a size"},
		{"choice", "[Log]\nLevel = loud\n", 12, "must be one of debug, info, warning, error"},
		{"host name", "[Caller]\nListen = localhost:80\n", 12, "must be an IP address and a port"},
		{"empty", "[Caller]\nListen =\n", 12, "remove the line to use the default"},
		{"inline comment", "[Caller]\nReadTimeout = 5s # short\n", 12, "must be a duration"},
		{"no delimiter", "[Caller]\nReadTimeout\n", 12, "must be a comment"},
		{"twice", "[Log]\nLevel = info\nLevel = debug\n", 13, "Level is already on line 12"},
		{"section twice", "[Daemon]\n", 11, "already on line 1"},
		{"continued value", "[Log]\nLevel = \"\"\"info\n\"\"\"\n", 12, "must be on one line"},
		{"token in place of digest", "[Operator.Tokens]\nalice = secret\n", 12, "not the token itself"},
		{"certificate without key", "[Caller]\nCertificate = /nowhere\n", 12, "set both or none"},
		{"unreadable certificate", "[Caller]\nCertificate = /nowhere/a\nCertificateKey = /nowhere/b\n", 12, "cannot be read"},
		{"operators in plain text", "[Operator]\nListen = 10.0.0.1:8081\n", 12, "plain text"},
		{"peers in plain text", "[Peer]\nListen = 10.0.0.1:8082\n", 12, "set CertificateAuthority"},
		{"no address for peers", "[Peer]\nListen = 0.0.0.0:8082\n", 12, "set Peer.Advertise"},
		{"same port", "[Caller]\nListen = 127.0.0.1:8082\n", 0, "already used by Caller.Listen"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(writeFile(t, minimal+test.text))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error is %v", err)
			}
			for _, problem := range problems {
				if problem.Line == test.line && strings.Contains(problem.Message, test.want) {
					return
				}
			}
			t.Errorf("got problems:\n%v\nwant line %d with %q", err, test.line, test.want)
		})
	}
}

func TestAllProblemsAreListedAtOnce(t *testing.T) {
	_, err := Load(writeFile(t, "[Daemon]\nID = a b\n[Log]\nLevel = loud\n"))
	var problems Problems
	if !errors.As(err, &problems) || len(problems) != 9 {
		t.Fatalf("want 9 problems (2 wrong, 7 missing), got %d:\n%v", len(problems), err)
	}
	if strings.Contains(err.Error(), "%!") {
		t.Errorf("a message has a formatting error: %v", err)
	}
}

func TestTokenIsNotRepeatedInTheMessage(t *testing.T) {
	_, err := Load(writeFile(t, minimal+"[Operator.Tokens]\nalice = my-secret-token\n"))
	if err == nil || strings.Contains(err.Error(), "my-secret-token") {
		t.Errorf("error is %v", err)
	}
}

func TestLoadAndCheckAddressesFindsPortInUse(t *testing.T) {
	var config net.ListenConfig
	taken, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free := "[Operator]\nListen = 127.0.0.1:0\n[Peer]\nListen = 127.0.0.1:0\n"
	path := writeFile(t, minimal+free+"[Caller]\nListen = "+taken.Addr().String()+"\n")
	if _, err := Load(path); err != nil {
		t.Fatal(err)
	}
	_, err = LoadAndCheckAddresses(path)
	if err == nil || !strings.Contains(err.Error(), ":16: Caller.Listen cannot be listened on") {
		t.Errorf("error is %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(minimal)
	f.Add(Example())
	f.Add("[a]\nb = \"x\"\n[a.b]\n")
	f.Add("[A\n")
	f.Add("[A]\nB=`x")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		_, _, err = Decode(doc)
		var problems Problems
		if err != nil && !errors.As(err, &problems) {
			t.Errorf("error is of type %T", err)
		}
	})
}

func TestInvalidCertificateIsRefused(t *testing.T) {
	file := writeFile(t, "no PEM")
	_, err := Load(writeFile(t, minimal+"[Peer]\nCertificateAuthority = "+file+"\nCertificate = "+file+"\nCertificateKey = "+file+"\n"))
	for _, want := range []string{":12: Peer.CertificateAuthority contains no certificate", ":13: Peer.Certificate cannot be used with CertificateKey"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v, want %q", err, want)
		}
	}
}

// TestTableCoversTheStruct guards against a setting that Fields lacks and against
// a target function that returns another setting.
func TestTableCoversTheStruct(t *testing.T) {
	var settings Settings
	targets := map[any]string{}
	for _, field := range Fields() {
		targets[field.target(&settings)] = field.Section + "." + field.Name
	}
	value := reflect.ValueOf(&settings).Elem()
	for i := range value.NumField() {
		section := value.Type().Field(i).Name
		for j := range value.Field(i).NumField() {
			name := section + "." + value.Field(i).Type().Field(j).Name
			pointer := value.Field(i).Field(j).Addr().Interface()
			if name != tokensSection && targets[pointer] != name {
				t.Errorf("%s is the target of field %q", name, targets[pointer])
			}
		}
	}
}
