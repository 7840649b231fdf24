package outbound

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes bounds how much of a line is looked at.
const maxLineBytes = 1 << 10

// maxStatus is the highest status that a response can have.
const maxStatus = 599

// maxQuotedBytes bounds the text of a response in an error.
const maxQuotedBytes = 48

// MalformedError reports a response that isn't one in HTTP/1.
type MalformedError struct {
	Problem string
	// Line is the start of the malformed line.
	Line string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed response: " + e.Problem + ": " + strconv.Quote(e.Line)
}

// part is a part of a response.
type part int

const (
	// partOpaque isn't checked.
	partOpaque part = iota
	partStatusLine
	// partFields are the lines after the status line up to an empty one.
	partFields
)

// responseScanner follows the response to one request. It is pure.
type responseScanner struct {
	part part
	// line is the start of a line whose end wasn't read yet, at most maxLineBytes of it.
	line []byte
	// status is the status of the head that is read.
	status int
	// err is the error of the malformed line. There is no response after it.
	err error
}

// scan follows further bytes of the connection. It returns how many of them are sound, and a
// *MalformedError if not all are.
func (s *responseScanner) scan(data []byte) (sound int, err error) {
	for s.err == nil && sound < len(data) && s.part != partOpaque {
		rest := data[sound:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.keep(rest)
			break
		}
		s.keep(rest[:end])
		if s.err = s.endLine(); s.err == nil {
			sound += end + 1
		}
	}
	if s.err != nil {
		return sound, s.err
	}
	return len(data), nil
}

// keep appends to the line that is read.
func (s *responseScanner) keep(data []byte) {
	s.line = append(s.line, data[:min(len(data), maxLineBytes-len(s.line))]...)
}

// endLine checks the line that was read.
func (s *responseScanner) endLine() error {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	switch {
	case s.part == partStatusLine:
		return s.statusLine(line)
	case len(line) == 0:
		s.endFields()
		return nil
	default:
		return checkField(line)
	}
}

// statusLine checks the first line of a head. This process doesn't ask to switch protocols, so that 101
// is no response either.
func (s *responseScanner) statusLine(line []byte) error {
	const version, afterVersion, afterStatus = "HTTP/1.x", " 200", len(" 200")
	s.part = partFields
	rest, ok := bytes.CutPrefix(line, []byte(version[:len(version)-1]))
	if !ok || len(rest) < 1+len(afterVersion) || !isDigit(rest[0]) || rest[1] != ' ' {
		return malformed("status line", line)
	}
	status := rest[1:]
	code, err := strconv.ParseUint(string(status[1:afterStatus]), 10, 16)
	if err != nil || len(status) > afterStatus && status[afterStatus] != ' ' {
		return malformed("status line", line)
	}
	s.status = int(code)
	if s.status < http.StatusContinue || s.status > maxStatus || s.status == http.StatusSwitchingProtocols {
		return malformed("status", line)
	}
	return nil
}

// checkField checks the name of a field. A line that begins with white space goes on with the value of
// the line before (RFC 9112, section 5.2). What reads it as a field of its own sees another message, so
// that such a response is malformed too.
func checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsFunc(name, isNoNameRune) {
		return malformed("name of a field", line)
	}
	return nil
}

// isNoNameRune reports whether no name of a field has the character (RFC 9110, section 5.6.2).
func isNoNameRune(r rune) bool {
	return (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// endFields ends a head. After an informational one another follows.
func (s *responseScanner) endFields() {
	s.part = partOpaque
	if s.status < http.StatusOK {
		s.part = partStatusLine
	}
}

func malformed(problem string, line []byte) error {
	return errors.WithStack(&MalformedError{Problem: problem, Line: string(line[:min(len(line), maxQuotedBytes)])})
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
