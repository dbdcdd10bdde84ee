// Package shape checks what the linter cannot: that the decisions layer of
// every concern holds no goroutine and no channel.
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

// edges are the packages without a decisions layer.
var edges = map[string]bool{
	"task": true, "innerproto": true, "innerpb": true, "gateway": true, "upstream": true, "granthttp": true,
	"announce": true, "operators": true, "daemon": true, "telemetry": true, "settings": true,
	"storage": true, "serve": true, "security": true, "shape": true, "cli": true,
	"witness": true, "roles": true, "clock": true,
}

// TestDecisionsHaveNoGoroutine holds the shape: state is owned by tasks, and
// decisions are plain functions.
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
	is.True(files > 5) // the walk found the decisions
}

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
