package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// field describes a field of a settings type by its struct tags.
type field struct {
	name         string // JSON name
	typ          reflect.Type
	index        int
	required     bool
	doc          string
	form         string   // key of forms; empty if any text is valid
	defaultValue string   // default value
	enum         []string // allowed values; empty if any
	unit         string   // unit of a number
	min, max     int64    // inclusive range of a number
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		var enum []string
		if e := f.Tag.Get("enum"); e != "" {
			enum = strings.Split(e, ",")
		}
		fields = append(fields, field{
			name: name, typ: f.Type, index: i, required: !strings.HasPrefix(options, "omit"),
			doc: f.Tag.Get("doc"), form: f.Tag.Get("form"), defaultValue: f.Tag.Get("default"), enum: enum,
			unit: f.Tag.Get("unit"), min: number(f.Tag.Get("min")), max: number(f.Tag.Get("max")),
		})
	}
	return fields
}

// number parses a numeric tag. An absent tag counts as 0.
func number(tag string) int64 {
	n, _ := strconv.ParseInt(tag, 10, 64)
	return n
}

// form is a format of strings.
type form struct {
	pattern string // regular expression
	want    string // description for error messages
}

var forms = map[string]form{
	"name": {`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`, "1 to 63 letters, digits, dots, hyphens or underscores that begin with a letter or digit"},
	// With port 0 the operating system chooses a port.
	"address": {`^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$`, "IP:port with a port from 0 to 65535"},
	"path":    {`^.+$`, "a path that is not empty"},
	"sha256":  {`^[0-9a-fA-F]{64}$`, "64 hexadecimal digits"},
}

// Schema returns the JSON Schema of the settings, indented.
func Schema() ([]byte, error) {
	schema := typeSchema(reflect.TypeFor[Settings](), field{})
	schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	schema["title"] = "Settings of comfreynotchd"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("settings schema: %w", err)
	}
	return append(data, '\n'), nil
}

func typeSchema(t reflect.Type, f field) map[string]any {
	switch t.Kind() {
	case reflect.Pointer:
		return typeSchema(t.Elem(), f)
	case reflect.Struct:
		return objectSchema(t)
	case reflect.Slice:
		return map[string]any{"type": "array", "items": typeSchema(t.Elem(), f)}
	case reflect.Int, reflect.Int64:
		return map[string]any{
			"type": "integer", "minimum": f.min, "maximum": f.max, "default": number(f.defaultValue), "x-unit": f.unit,
		}
	default:
		return stringSchema(f)
	}
}

func stringSchema(f field) map[string]any {
	s := map[string]any{"type": "string"}
	if f.form != "" {
		s["pattern"] = forms[f.form].pattern
	}
	if len(f.enum) > 0 {
		s["enum"] = f.enum
	}
	if f.defaultValue != "" {
		s["default"] = f.defaultValue
	}
	return s
}

func objectSchema(t reflect.Type) map[string]any {
	properties := map[string]any{}
	required := []string{}
	for _, f := range fieldsOf(t) {
		property := typeSchema(f.typ, f)
		property["description"] = f.doc
		properties[f.name] = property
		if f.required {
			required = append(required, f.name)
		}
	}
	return map[string]any{
		"type": "object", "properties": properties, "required": required, "additionalProperties": false,
	}
}
