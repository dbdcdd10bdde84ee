// Package configjson encodes the configuration and its commands as JSON. The
// registry stores this encoding in its log and snapshots and distributes it to
// the daemons. Package config itself contains no encoding.
package configjson

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// changes maps the names of all types of change to the types. These names are
// stored and must never be renamed or reused. Fields may be added to a type, but
// the meaning of a field must not change.
var changes = byName(
	config.Bootstrap{},
	config.PutDataCentre{},
	config.PutCell{},
	config.ActivateFloor{},
	config.PutWorkspace{},
	config.DeleteWorkspace{},
	config.PutCallerKey{},
	config.DeleteCallerKey{},
	config.PutService{},
	config.DeleteService{},
	config.DrainTarget{},
	config.AgreeHomeMove{},
	config.ConfirmCell{},
	config.PatchCatalog{},
	config.SetEvacuated{},
	config.AssignKeys{},
	config.SplitKeys{},
	config.RetireTarget{},
	config.CountEntryVMs{},
)

func byName(values ...config.Change) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, v := range values {
		t := reflect.TypeOf(v)
		types[t.Name()] = t
	}
	return types
}

type wireCommand struct {
	RequestID string          `json:"request_id"`
	Expected  core.Version    `json:"expected,omitempty"`
	At        time.Time       `json:"at,omitzero"`
	Kind      string          `json:"kind"`
	Change    json.RawMessage `json:"change"`
}

// Codec is the encoding that the registry and package configsync use.
type Codec struct{}

// EncodeCommand encodes c. The digest is omitted since DecodeCommand computes it
// from the encoded change.
func (Codec) EncodeCommand(c config.Command) ([]byte, error) {
	kind := reflect.TypeOf(c.Change).Name()
	if _, ok := changes[kind]; !ok {
		return nil, fmt.Errorf("no encoding is registered for changes of type %s", kind)
	}
	change, err := json.Marshal(c.Change)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	data, err := json.Marshal(wireCommand{c.RequestID, c.Expected, c.At, kind, change})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return compress(data)
}

// DecodeCommand decodes the output of EncodeCommand. An unknown type of change,
// written by a newer daemon, is an error: if it were skipped, the states of the
// replicas would diverge.
func (Codec) DecodeCommand(data []byte) (config.Command, error) {
	data, err := decompress(data)
	if err != nil {
		return config.Command{}, err
	}
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return config.Command{}, fmt.Errorf("decode command: %w", err)
	}
	t, ok := changes[w.Kind]
	if !ok {
		return config.Command{}, fmt.Errorf("unknown type of change %q: written by a newer version", w.Kind)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(w.Change, v.Interface()); err != nil {
		return config.Command{}, fmt.Errorf("decode %s: %w", w.Kind, err)
	}
	return config.Command{
		RequestID: w.RequestID,
		Expected:  w.Expected,
		At:        w.At,
		Change:    v.Elem().Interface().(config.Change),
		Digest:    sha256.Sum256(append([]byte(w.Kind+" "), w.Change...)),
	}, nil
}

// EncodeState encodes the complete configuration.
func (Codec) EncodeState(s *config.State) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return compress(data)
}

// DecodeState decodes the output of EncodeState.
func (Codec) DecodeState(data []byte) (*config.State, error) {
	data, err := decompress(data)
	if err != nil {
		return nil, err
	}
	s := config.NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return s, nil
}
