package strictjson

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
	"time"
)

var fieldCache sync.Map

// fieldIndexes maps the JSON names of a struct's fields to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = i
	}
	fieldCache.Store(t, fields)
	return fields
}

func textUnmarshaler(target reflect.Value) (encoding.TextUnmarshaler, bool) {
	if !target.CanAddr() {
		return nil, false
	}
	unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler)
	return unmarshaler, ok
}

// expectedType names the JSON type that the target accepts.
func expectedType(target reflect.Value) string {
	if _, ok := target.Interface().(time.Time); ok {
		return "RFC 3339 time"
	}
	switch target.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	default:
		return "number"
	}
}

func delimType(delim json.Delim) string {
	if delim == '{' {
		return "object"
	}
	return "array"
}

func scalarType(token json.Token) string {
	switch token.(type) {
	case string:
		return "string"
	case bool:
		return "boolean"
	default:
		return "number"
	}
}
