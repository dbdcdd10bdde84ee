package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Load reads and validates the file at path.
func Load(path string) (*Settings, error) {
	s, err := Read(path)
	if err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Read reads the file at path. It checks field names and types only, so that the
// caller can override fields from flags and the environment and then call Check.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, result.New(result.SettingsInvalid, "settings file %s: there is no such file", path)
	}
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings file")
	}
	return decode(data)
}

// Parse decodes and validates settings. The error is one line that names the
// invalid field and what it allows.
func Parse(data []byte) (*Settings, error) {
	s, err := decode(data)
	if err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

func decode(data []byte) (*Settings, error) {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, result.New(result.SettingsInvalid, "settings: want one JSON object: %s", err)
	}
	if err := checkTypes("", tree, reflect.TypeFor[Settings]()); err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings")
	}
	s := &Settings{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings")
	}
	return s, nil
}

// checkTypes checks that a decoded JSON value fits the Go type t. encoding/json
// alone would accept unknown fields and null.
func checkTypes(path string, v any, t reflect.Type) error {
	switch t.Kind() {
	case reflect.Pointer:
		return checkTypes(path, v, t.Elem())
	case reflect.Struct:
		object, ok := v.(map[string]any)
		if !ok {
			return wrongType(path, "an object", v)
		}
		return checkObject(path, object, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			return wrongType(path, "a list", v)
		}
		for i, item := range list {
			if err := checkTypes(fmt.Sprintf("%s[%d]", path, i), item, t.Elem()); err != nil {
				return err
			}
		}
	case reflect.String:
		if _, ok := v.(string); !ok {
			return wrongType(path, "a string", v)
		}
	case reflect.Int, reflect.Int64:
		if n, ok := v.(float64); !ok || n != math.Trunc(n) {
			return wrongType(path, "a whole number", v)
		}
	default:
		return fmt.Errorf("field %s: fields of type %s are not supported", path, t)
	}
	return nil
}

func checkObject(path string, object map[string]any, t reflect.Type) error {
	fields := fieldsOf(t)
	var names []string
	for _, f := range fields {
		names = append(names, f.name)
	}
	for name, value := range object {
		i := slices.Index(names, name)
		if i < 0 {
			return fmt.Errorf("field %s: unknown; allowed here: %s", join(path, name), strings.Join(names, ", "))
		}
		if err := checkTypes(join(path, name), value, fields[i].typ); err != nil {
			return err
		}
	}
	return nil
}

func wrongType(path, want string, v any) error {
	got := map[reflect.Kind]string{
		reflect.Bool: "a boolean", reflect.Float64: "a number", reflect.String: "a string",
		reflect.Slice: "a list", reflect.Map: "an object", reflect.Invalid: "null",
	}[reflect.ValueOf(v).Kind()]
	if path == "" {
		return fmt.Errorf("want %s, not %s", want, got)
	}
	return fmt.Errorf("field %s: want %s, not %s", path, want, got)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
