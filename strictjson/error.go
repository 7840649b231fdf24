package strictjson

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Fault is one problem found in a document.
type Fault struct {
	// Path is the JSONPath of the value concerned, such as "$.lots[3].budget".
	Path string `json:"path"`
	// Problem describes what is wrong with the value.
	Problem string `json:"problem"`
}

// String returns the path and the problem on one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// Error holds all faults of one document.
type Error struct {
	// Source names the document, for example by its file; it may be empty.
	Source string
	Faults []Fault
}

// Error implements error. It lists one fault per line.
func (e *Error) Error() string {
	var out strings.Builder
	if e.Source != "" {
		out.WriteString(e.Source + ": ")
	}
	fmt.Fprintf(&out, "%d faults", len(e.Faults))
	for _, fault := range e.Faults {
		out.WriteString("\n  " + fault.String())
	}
	return out.String()
}

// Collector collects faults. Its zero value is ready to use.
type Collector struct {
	faults []Fault
}

// Addf records a fault at path.
func (c *Collector) Addf(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// Require records a fault at path if ok is false.
func (c *Collector) Require(ok bool, path, format string, args ...any) {
	if !ok {
		c.Addf(path, format, args...)
	}
}

// Faults returns the faults recorded so far.
func (c *Collector) Faults() []Fault { return c.faults }

// Err returns the faults as an *Error, or nil if there are none.
func (c *Collector) Err(source string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Error{Source: source, Faults: c.faults}
}

// Merge returns the faults of decoding and of the checks after it as one
// *Error, or nil if there are none. A check's fault at or below a path that
// already has a decoding fault is omitted, since it only repeats that fault.
func Merge(source string, decoded, checked []Fault) error {
	faults := slices.Clone(decoded)
	for _, fault := range checked {
		if !repeatsDecodeFault(decoded, fault.Path) {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &Error{Source: source, Faults: faults}
}

func repeatsDecodeFault(decoded []Fault, path string) bool {
	return slices.ContainsFunc(decoded, func(f Fault) bool {
		rest, below := strings.CutPrefix(path, f.Path)
		return below && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// Index returns the path of an element of the array at path.
func Index(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
