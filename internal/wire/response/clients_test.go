package response_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestNoClientReadsAnswersByItself guards against a client of the programs that leaves answers to
// net/http alone. Stand-ins and the project's bench are not a part of the programs.
func TestNoClientReadsAnswersByItself(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, dir := range []string{"cmd", "coord", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			name := strings.TrimPrefix(filepath.ToSlash(path), "../../../")
			switch {
			case err != nil:
				return err
			case entry.IsDir() && (name == "internal/standin" || name == "internal/bench"):
				return filepath.SkipDir
			case strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go"):
				checkFile(t, path, name)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// readers are the names of net/http with which answers are read, and the files that read only what a
// Conn passes on.
var readers = map[string][]string{
	"Transport":        {"coord/guard/guard.go", "internal/daemon/gateway/gateway.go", "internal/daemon/serve/serve.go", "internal/endpoint/transport/transport.go", "internal/platform/rest/http.go", "internal/wire/response/transport.go"},
	"Client":           {"internal/endpoint/transport/transport.go", "internal/platform/rest/http.go"},
	"ReadResponse":     {"internal/endpoint/http1/head.go"},
	"DefaultClient":    nil,
	"DefaultTransport": nil,
	"Get":              nil,
	"Post":             nil,
	"Head":             nil,
}

// checkFile reports uses of the readers in a file that is not known for them. A client that is only
// passed on, as *http.Client, reads as it was made.
func checkFile(t *testing.T, path, name string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	passedOn := make(map[ast.Node]bool)
	ast.Inspect(file, func(node ast.Node) bool {
		if star, ok := node.(*ast.StarExpr); ok {
			passedOn[star.X] = true
		}
		selector, ok := node.(*ast.SelectorExpr)
		if !ok || passedOn[selector] {
			return true
		}
		pkg, ok := selector.X.(*ast.Ident)
		known, isReader := readers[selector.Sel.Name]
		if ok && pkg.Name == "http" && isReader && !slices.Contains(known, name) {
			t.Errorf("%s uses http.%s; answers are to be read through package response", name, selector.Sel.Name)
		}
		return true
	})
}
