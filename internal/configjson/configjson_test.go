package configjson

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// TestEveryChangeHasAStoredForm: a change that the registry accepts must reach
// the log and every daemon.
func TestEveryChangeHasAStoredForm(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../config/*.go")
	is.NoErr(err)
	found := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		src, err := os.ReadFile(name)
		is.NoErr(err)
		f, err := parser.ParseFile(token.NewFileSet(), name, src, 0)
		is.NoErr(err)
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok || fn.Name.Name != "apply" || fn.Recv == nil {
				continue
			}
			kind, ok := fn.Recv.List[0].Type.(*ast.Ident)
			if !ok {
				continue
			}
			found++
			if _, ok := changes[kind.Name]; !ok {
				t.Errorf("add config.%s to changes", kind.Name)
			}
		}
	}
	is.True(found >= len(changes))
}

// TestReplicasAgree: what the commands make of a state on one replica, their
// stored forms make on another, and so does the stored state.
func TestReplicasAgree(t *testing.T) {
	is := is.New(t)
	var codec Codec
	here, there := config.NewState(), config.NewState()
	for i, change := range []config.Change{
		config.Bootstrap{
			DataCentres: []config.DataCentre{{Name: "a", Region: "r", Status: config.DataCentreActive}},
			Cells:       []config.PutCell{{Cell: config.Cell{Name: "a", DataCentre: "a", Members: []core.VM{"v"}}, VMs: []config.VM{{Name: "v", InnerAddress: "x:1"}}}},
		},
		config.PutWorkspace{Workspace: config.Workspace{Name: "lab", Rate: 0.1, Burst: 1e9}},
		config.PutCallerKey{Key: config.CallerKey{ID: "k", Workspace: "lab", Hash: config.HashSecret("s")}},
		config.PutService{Service: config.Service{Name: "archivio", Keyed: true, Shards: 16, Deadline: time.Second}},
	} {
		data, err := codec.EncodeCommand(config.Command{RequestID: string(rune('a' + i)), Change: change})
		is.NoErr(err)
		c, err := codec.DecodeCommand(data)
		is.NoErr(err)
		here, err = here.Apply(c)
		is.NoErr(err)
		c, err = codec.DecodeCommand(data)
		is.NoErr(err)
		there, err = there.Apply(c)
		is.NoErr(err)
	}
	data, err := codec.EncodeState(here)
	is.NoErr(err)
	loaded, err := codec.DecodeState(data)
	is.NoErr(err)
	is.Equal(loaded, here)
	is.Equal(there, here)
}

// TestResends: a resend gets the first answer's version; another change under
// the same request id, and a second change of the same version, are refused.
func TestResends(t *testing.T) {
	is := is.New(t)
	var codec Codec
	command := func(id string, expected core.Version, rate float64) config.Command {
		data, err := codec.EncodeCommand(config.Command{
			RequestID: id, Expected: expected,
			Change: config.PutWorkspace{Workspace: config.Workspace{Name: "lab", Rate: rate}},
		})
		is.NoErr(err)
		c, err := codec.DecodeCommand(data)
		is.NoErr(err)
		return c
	}
	d := config.NewState().Draft()
	v, err := d.Apply(command("a", 0, 1))
	is.NoErr(err)
	is.Equal(v, core.Version(1))
	_, err = d.Apply(command("b", 1, 2))
	is.NoErr(err)
	v, err = d.Apply(command("a", 0, 1))
	is.NoErr(err)
	is.Equal(v, core.Version(1)) // the first answer, though version 2 is in force
	_, err = d.Apply(command("a", 0, 3))
	is.Equal(result.CodeOf(err), result.RequestIDReused)
	_, err = d.Apply(command("c", 1, 3))
	is.Equal(result.CodeOf(err), result.VersionConflict)
	is.Equal(d.State().AnswerVersion("a"), core.Version(1))
	for i := range 5000 { // still known after thousands of changes
		_, err = d.Apply(command(string(rune(0x4e00+i)), 0, 1))
		is.NoErr(err)
	}
	v, err = d.Apply(command("a", 0, 1))
	is.NoErr(err)
	is.Equal(v, core.Version(1))
}
