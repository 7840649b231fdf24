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

// IsFinal reports whether a status is one of a response that isn't informational (RFC 9110, section 15).
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxQuotedBytes bounds the text of a response in an error, maxRefusalBytes what net/http says of one.
const (
	maxQuotedBytes  = 48
	maxRefusalBytes = 160
)

// MalformedError reports a response that isn't one in HTTP/1, or that net/http refuses.
type MalformedError struct {
	Problem string
	// Line is the start of the malformed line, or of what net/http says.
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
	// partChunkSize is the line before a chunk, partChunk the chunk with the end of its line.
	partChunkSize
	partChunk
	// partTrailer are the fields after the last chunk.
	partTrailer
)

// responseScanner follows the response to one request. It is pure.
type responseScanner struct {
	part part
	// line is the start of a line whose end wasn't read yet, at most maxLineBytes of it.
	line []byte
	// bodyless is set if the request asks for no body.
	bodyless bool
	// status is the status of the head that is read, http10 is set if its version is HTTP/1.0, and chunked
	// if its body is in chunks.
	status          int
	http10, chunked bool
	// left is the number of bytes that are left of the chunk.
	left uint64
	// err is the error of the malformed line. There is no response after it.
	err error
}

// scan follows further bytes of the connection. It returns how many of them are sound, and a
// *MalformedError if not all are.
func (s *responseScanner) scan(data []byte) (sound int, err error) {
	for s.err == nil && sound < len(data) && s.part != partOpaque {
		rest := data[sound:]
		if s.part == partChunk {
			sound += s.skipChunk(len(rest))
			continue
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.keep(rest)
			break
		}
		line := rest[:end]
		if len(s.line) > 0 {
			s.keep(line)
			line = s.line
		}
		s.line = s.line[:0]
		line = line[:min(len(line), maxLineBytes)]
		if s.err = s.endLine(bytes.TrimSuffix(line, []byte("\r"))); s.err == nil {
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

// endLine checks a line, without its end.
func (s *responseScanner) endLine(line []byte) error {
	switch {
	case s.part == partStatusLine:
		return s.statusLine(line)
	case s.part == partChunkSize:
		s.chunkSize(line)
		return nil
	case len(line) == 0:
		s.endFields()
		return nil
	default:
		return s.field(line)
	}
}

// statusLine checks the first line of a head. This process doesn't ask to switch protocols, so that 101
// is no response either.
func (s *responseScanner) statusLine(line []byte) error {
	const version, withStatus = "HTTP/1.", len("1 200")
	s.part, s.chunked = partFields, false
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(rest) < withStatus || !isDigit(rest[0]) || rest[1] != ' ' || len(rest) > withStatus && rest[withStatus] != ' ' {
		return malformed("status line", line)
	}
	s.http10 = rest[0] == '0'
	code, err := strconv.ParseUint(string(rest[len("1 "):withStatus]), 10, 16)
	if err != nil {
		return malformed("status line", line)
	}
	s.status = int(code)
	if s.status < http.StatusContinue || s.status > maxStatus || s.status == http.StatusSwitchingProtocols {
		return malformed("status", line)
	}
	return nil
}

// field checks the name of a field. A line that begins with white space goes on with the value of the line
// before (RFC 9112, section 5.2). What reads it as a field of its own sees another message, so that such
// a response is malformed too.
func (s *responseScanner) field(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsFunc(name, isNoNameRune) {
		return malformed("name of a field", line)
	}
	if s.part != partFields || !bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return nil
	}
	if s.http10 {
		// RFC 9112, section 6.1. net/http takes the chunks for the body.
		return malformed("coding in HTTP/1.0", line)
	}
	// net/http knows no other coding than chunks.
	s.chunked = true
	return nil
}

// isNoNameRune reports whether no name of a field has the character (RFC 9110, section 5.6.2).
func isNoNameRune(r rune) bool {
	return (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// endFields ends a head or a trailer. After an informational head another follows.
func (s *responseScanner) endFields() {
	switch {
	case s.part == partFields && s.status < http.StatusOK:
		s.part = partStatusLine
	case s.part == partFields && s.chunked && s.hasBody():
		s.part = partChunkSize
	default:
		s.part = partOpaque
	}
}

// hasBody reports whether a body follows the head (RFC 9112, section 6.3).
func (s *responseScanner) hasBody() bool {
	return !s.bodyless && s.status != http.StatusNoContent && s.status != http.StatusNotModified
}

// maxChunkDigits bounds the length of a chunk, as net/http does.
const maxChunkDigits = 15

// chunkSize reads the length of a chunk. The rest of the response isn't checked if there is none, as
// net/http fails it.
func (s *responseScanner) chunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits[:min(len(digits), maxChunkDigits+1)]), 16, 64)
	switch {
	case err != nil || len(digits) > maxChunkDigits:
		s.part = partOpaque
	case size == 0:
		s.part = partTrailer
	default:
		s.part, s.left = partChunk, size+uint64(len("\r\n"))
	}
}

// skipChunk follows bytes of a chunk and returns how many.
func (s *responseScanner) skipChunk(most int) int {
	n := min(s.left, uint64(most))
	if s.left -= n; s.left == 0 {
		s.part = partChunkSize
	}
	return int(n)
}

func malformed(problem string, line []byte) error {
	return errors.WithStack(&MalformedError{Problem: problem, Line: string(line[:min(len(line), maxQuotedBytes)])})
}

// refused returns the error for a response that net/http refuses with an error.
func refused(err error) error {
	text := err.Error()
	return errors.WithStack(&MalformedError{Problem: "refused by net/http", Line: text[:min(len(text), maxRefusalBytes)]})
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
