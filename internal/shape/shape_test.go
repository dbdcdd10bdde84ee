// Package shape checks a rule that the linter cannot: no package uses goroutines
// or channels outside its task files, apart from the packages in edges.
package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// edges are the packages without a decisions layer: they do input and output or
// assemble tasks, and may use goroutines and channels in any file.
var edges = map[string]bool{
	"task": true, "innerproto": true, "innerpb": true, "gateway": true, "upstream": true, "granthttp": true,
	"announce": true, "operators": true, "daemon": true, "telemetry": true, "settings": true,
	"storage": true, "serve": true, "security": true, "shape": true, "cli": true,
	"witness": true, "roles": true, "clock": true,
}

// TestDecisionsHaveNoGoroutine checks that only files called task*.go contain
// goroutines and channels: tasks own the state, and decisions are plain functions.
func TestDecisionsHaveNoGoroutine(t *testing.T) {
	is := is.New(t)
	files := 0
	err := fs.WalkDir(os.DirFS(".."), ".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.Base(path)
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") ||
			strings.HasPrefix(name, "task") || edges[filepath.Base(filepath.Dir(path))] {
			return nil
		}
		files++
		checkFile(t, filepath.Join("..", path))
		return nil
	})
	is.NoErr(err)
	is.True(files > 5) // the walk found the source files
}

// checkFile reports each go statement, channel type, select and send in a file.
func checkFile(t *testing.T, path string) {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n.(type) {
		case *ast.GoStmt, *ast.ChanType, *ast.SelectStmt, *ast.SendStmt:
			t.Errorf("%s: goroutine or channel in a decisions file", fset.Position(n.Pos()))
		}
		return true
	})
}
