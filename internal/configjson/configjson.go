// Package configjson encodes the configuration and its commands as JSON, for
// the registry's log, its snapshots and their spread to the daemons. It is an
// edge: package config knows no encoding.
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

// changes holds one value of each type of change. The name of a type is stored
// and never reused; a field may be added, none may change its meaning.
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

// Codec encodes for the registry and for configsync.
type Codec struct{}

// EncodeCommand returns the stored form of c. Its digest is left out: it
// follows from the change.
func (Codec) EncodeCommand(c config.Command) ([]byte, error) {
	kind := reflect.TypeOf(c.Change).Name()
	if _, ok := changes[kind]; !ok {
		return nil, fmt.Errorf("change of type %s has no stored form", kind)
	}
	change, err := json.Marshal(c.Change)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	data, err := json.Marshal(wireCommand{c.RequestID, c.Expected, c.At, kind, change})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return pack(data)
}

// DecodeCommand reads what EncodeCommand writes. A type of change that a newer
// daemon wrote is an error: skipping it would let replicas differ.
func (Codec) DecodeCommand(data []byte) (config.Command, error) {
	data, err := unpack(data)
	if err != nil {
		return config.Command{}, err
	}
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return config.Command{}, fmt.Errorf("decode a command: %w", err)
	}
	t, ok := changes[w.Kind]
	if !ok {
		return config.Command{}, fmt.Errorf("unknown change %q: written by a newer version", w.Kind)
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

// EncodeState returns the whole configuration.
func (Codec) EncodeState(s *config.State) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode a configuration: %w", err)
	}
	return pack(data)
}

// DecodeState reads what EncodeState writes.
func (Codec) DecodeState(data []byte) (*config.State, error) {
	data, err := unpack(data)
	if err != nil {
		return nil, err
	}
	s := config.NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode a configuration: %w", err)
	}
	return s, nil
}
