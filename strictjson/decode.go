// Package strictjson decodes JSON into Go values and reports all faults at
// once: unknown and duplicate fields, wrong types, numbers out of range, null
// values, malformed text and trailing data, each with its path. It reads the
// tokens with encoding/json and adds only the strict checks.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	maxFaults = 200
	maxDepth  = 64
	rootPath  = "$"
)

// Decode decodes data into the value that target points to and returns the
// faults found, nil if there are none. Fields that data omits and values with a
// fault keep what target held before.
func Decode(data []byte, target any) []Fault {
	d := &decoder{}
	if !utf8.Valid(data) {
		d.faults.Addf(rootPath, "not valid UTF-8")
		return d.faults.Faults()
	}
	if !json.Valid(data) {
		d.faults.Addf(rootPath, "%s", describeSyntaxError(data))
		return d.faults.Faults()
	}
	d.tokens = json.NewDecoder(bytes.NewReader(data))
	d.tokens.UseNumber()
	d.decodeValue(nil, reflect.ValueOf(target).Elem())
	return d.faults.Faults()
}

func describeSyntaxError(data []byte) string {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "malformed JSON"
	}
	offset := min(int(syntax.Offset), len(data))
	before := data[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n') - 1
	return "malformed JSON at line " + strconv.Itoa(line) +
		", column " + strconv.Itoa(column) + ": " + syntax.Error()
}

// location is the position of a value in the document: a linked list from the
// innermost step outwards, so that path strings are only built for faults.
type location struct {
	parent *location
	field  string
	index  int
	depth  int
}

func (l *location) member(field string) *location {
	return &location{parent: l, field: field, depth: l.level() + 1}
}

func (l *location) element(index int) *location {
	return &location{parent: l, index: index, depth: l.level() + 1}
}

func (l *location) level() int {
	if l == nil {
		return 0
	}
	return l.depth
}

func (l *location) String() string {
	if l == nil {
		return rootPath
	}
	if l.field != "" {
		return l.parent.String() + Member(l.field)
	}
	return l.parent.String() + "[" + strconv.Itoa(l.index) + "]"
}

// Member returns the path step to a field. A name with characters other than
// letters, digits and underscores is quoted in brackets.
func Member(field string) string {
	special := strings.IndexFunc(field, func(r rune) bool {
		return r != '_' && (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z')
	})
	if special < 0 && field != "" {
		return "." + field
	}
	return "[" + strconv.Quote(field) + "]"
}

type decoder struct {
	tokens *json.Decoder
	faults Collector
}

func (d *decoder) addFault(at *location, format string, args ...any) {
	if len(d.faults.Faults()) < maxFaults {
		d.faults.Addf(at.String(), format, args...)
	}
}

func (d *decoder) nextToken() json.Token {
	token, err := d.tokens.Token()
	if err != nil {
		// json.Valid has accepted the whole text, so io.EOF is the only error.
		return io.EOF
	}
	return token
}

func (d *decoder) decodeValue(at *location, target reflect.Value) {
	token := d.nextToken()
	if token == nil {
		d.addFault(at, "null is not allowed")
		return
	}
	for target.Kind() == reflect.Pointer {
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		target = target.Elem()
	}
	delim, compound := token.(json.Delim)
	if !compound {
		d.decodeScalar(at, token, target)
		return
	}
	d.decodeCompound(at, delim, target)
}

func (d *decoder) decodeCompound(at *location, delim json.Delim, target reflect.Value) {
	_, isText := textUnmarshaler(target)
	switch {
	case at.level() >= maxDepth:
		d.addFault(at, "nested more than %d levels deep", maxDepth)
	case delim == '{' && target.Kind() == reflect.Struct && !isText:
		d.decodeObject(at, target)
		return
	case delim == '[' && target.Kind() == reflect.Slice && !isText:
		d.decodeArray(at, target)
		return
	default:
		d.addFault(at, "want %s, got %s", expectedType(target), delimType(delim))
	}
	d.skipToEnd()
}

// skipToEnd skips the rest of the object or array whose opening delimiter was
// read last.
func (d *decoder) skipToEnd() {
	for depth := 1; depth > 0; {
		switch d.nextToken() {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		case io.EOF:
			return
		}
	}
}

func (d *decoder) skipValue() {
	switch d.nextToken() {
	case json.Delim('{'), json.Delim('['):
		d.skipToEnd()
	}
}

func (d *decoder) decodeObject(at *location, target reflect.Value) {
	fields := fieldIndexes(target.Type())
	seen := make(map[string]bool, len(fields))
	for d.tokens.More() {
		name, _ := d.nextToken().(string)
		member := at.member(name)
		index, known := fields[name]
		switch {
		case seen[name]:
			d.addFault(member, "duplicate field")
			d.skipValue()
		case !known:
			d.addFault(member, "unknown field")
			d.skipValue()
		default:
			d.decodeValue(member, target.Field(index))
		}
		seen[name] = true
	}
	d.nextToken()
}

func (d *decoder) decodeArray(at *location, target reflect.Value) {
	target.Set(reflect.MakeSlice(target.Type(), 0, 0))
	for index := 0; d.tokens.More(); index++ {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(at.element(index), element)
		target.Set(reflect.Append(target, element))
	}
	d.nextToken()
}

func (d *decoder) decodeScalar(at *location, token json.Token, target reflect.Value) {
	if unmarshaler, ok := textUnmarshaler(target); ok {
		d.decodeText(at, token, target, unmarshaler)
		return
	}
	switch got := token.(type) {
	case string:
		if target.Kind() == reflect.String {
			target.SetString(got)
			return
		}
	case bool:
		if target.Kind() == reflect.Bool {
			target.SetBool(got)
			return
		}
	case json.Number:
		if d.decodeNumber(at, got, target) {
			return
		}
	}
	d.addFault(at, "want %s, got %s", expectedType(target), scalarType(token))
}

func (d *decoder) decodeText(at *location, token json.Token, target reflect.Value, unmarshaler encoding.TextUnmarshaler) {
	got, ok := token.(string)
	if !ok {
		d.addFault(at, "want %s, got %s", expectedType(target), scalarType(token))
		return
	}
	if err := unmarshaler.UnmarshalText([]byte(got)); err != nil {
		d.addFault(at, "%q is not a valid %s", got, expectedType(target))
	}
}

// decodeNumber reports whether the target is numeric. A number that does not
// fit the target is recorded as a fault.
func (d *decoder) decodeNumber(at *location, got json.Number, target reflect.Value) bool {
	switch {
	case target.CanInt():
		parsed, err := strconv.ParseInt(got.String(), 10, target.Type().Bits())
		if err != nil {
			d.addFault(at, "%s is not a signed %d-bit integer", got, target.Type().Bits())
			return true
		}
		target.SetInt(parsed)
	case target.CanUint():
		parsed, err := strconv.ParseUint(got.String(), 10, target.Type().Bits())
		if err != nil {
			d.addFault(at, "%s is not an unsigned %d-bit integer", got, target.Type().Bits())
			return true
		}
		target.SetUint(parsed)
	case target.CanFloat():
		parsed, err := strconv.ParseFloat(got.String(), target.Type().Bits())
		if err != nil {
			d.addFault(at, "%s is out of range", got)
			return true
		}
		target.SetFloat(parsed)
	default:
		return false
	}
	return true
}
