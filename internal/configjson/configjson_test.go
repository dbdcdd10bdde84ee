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

// TestEveryChangeHasAnEncoding checks that every type of change in package config
// is registered here. A change without an encoding could be accepted but neither
// be logged nor distributed to the daemons.
func TestEveryChangeHasAnEncoding(t *testing.T) {
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

// TestReplicasAgree checks that two replicas which decode and apply the same
// encoded commands reach the same state, and that the state itself survives
// encoding and decoding.
func TestReplicasAgree(t *testing.T) {
	is := is.New(t)
	var codec Codec
	replica, other := config.NewState(), config.NewState()
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
		replica, err = replica.Apply(c)
		is.NoErr(err)
		c, err = codec.DecodeCommand(data)
		is.NoErr(err)
		other, err = other.Apply(c)
		is.NoErr(err)
	}
	data, err := codec.EncodeState(replica)
	is.NoErr(err)
	loaded, err := codec.DecodeState(data)
	is.NoErr(err)
	is.Equal(loaded, replica)
	is.Equal(other, replica)
}

// TestResends checks that a resent command gets the version of the first answer,
// and that a different change with the same request id, or one that expects an
// outdated version, is refused.
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
	is.Equal(v, core.Version(1)) // the version of the first answer, although version 2 is in force
	_, err = d.Apply(command("a", 0, 3))
	is.Equal(result.CodeOf(err), result.RequestIDReused)
	_, err = d.Apply(command("c", 1, 3))
	is.Equal(result.CodeOf(err), result.VersionConflict)
	is.Equal(d.State().AnswerVersion("a"), core.Version(1))
	for i := range 5000 { // the answer is kept for several thousand further changes
		_, err = d.Apply(command(string(rune(0x4e00+i)), 0, 1))
		is.NoErr(err)
	}
	v, err = d.Apply(command("a", 0, 1))
	is.NoErr(err)
	is.Equal(v, core.Version(1))
}

// TestWrittenItemsSurvive checks that what an operator wrote is read back unchanged from
// the encoding, whatever its bytes, and also from that of older versions, in base64.
func TestWrittenItemsSurvive(t *testing.T) {
	is := is.New(t)
	for _, written := range []string{`{"name":"a","path":"/<b>&\u00e9/"}`, "{\"name\":\"\xff\xfe\"}", ""} {
		change := config.PatchCatalog{Services: []config.TargetClass{{Item: config.Item{Revision: 1}.WithSource([]byte(written)), Name: "s"}}}
		data, err := Codec{}.EncodeCommand(config.Command{Change: change})
		is.NoErr(err)
		command, err := Codec{}.DecodeCommand(data)
		is.NoErr(err)
		is.Equal(string(command.Change.(config.PatchCatalog).Services[0].Written()), written)
	}
	old := `{"request_id":"r","kind":"PatchCatalog","change":{"Routes":null,"Tenants":null,"Services":[{"Revision":1,"Dropped":false,"Source":"eyJhIjoxfQ==","Name":"s"}],"Limits":null}}`
	command, err := Codec{}.DecodeCommand([]byte(old))
	is.NoErr(err)
	is.Equal(string(command.Change.(config.PatchCatalog).Services[0].Written()), `{"a":1}`)
}
