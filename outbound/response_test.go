package outbound

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// soundResponses are responses that pass whole.
var soundResponses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 200\r\n\r\nHTTP/1.1 000 in a body\r\n",
	"HTTP/1.0 599 \n\nbody",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 404 Not Found\r\nX: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nX:\r\nX: \t: a b\xe9 \r\nX: " + strings.Repeat("x ", maxLineBytes) + "\r\n\r\na b: c",
	"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\r\na b\r\n0A \r\n0123456789\r\n000\r\nX: y\r\n\r\n rest",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n rest",
	"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na b: c\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n\r\n0\r\na b: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n0\r\na b: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n0\r\na b: c\r\n\r\n",
}

// malformedResponses are split by a bar into a sound start and the rest.
var malformedResponses = []string{
	"|HTTP/1.1 000 Trouble\r\nX: y\r\n\r\n",
	"|HTTP/1.1 600 Trouble\r\n\r\n",
	"|HTTP/1.1 20 Trouble\r\n\r\n",
	"|HTTP/1.1 2000 Trouble\r\n\r\n",
	"|HTTP/1.1  200 Trouble\r\n\r\n",
	"|HTTP/3.0 200 OK\r\n\r\n",
	"|\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n|HTTP/1.1 099 Trouble\r\n\r\n",
	"|" + strings.Repeat("x", 3*maxLineBytes) + "\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|a b: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|a : c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n| a: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|\ta: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n| \r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|a\x00: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|a\xff: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: y\r\n|c\r\n\r\n",
	"HTTP/1.1 200 OK\r\n|" + strings.Repeat("x", 3*maxLineBytes) + ": y\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na b\r\n0\r\n|a b: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na b\r\n0\r\nX: y\r\n|\ta: c\r\n\r\n",
	"HTTP/1.0 200 OK\r\n|Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\n|a b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
}

// scanParts scans data in parts of a size, and returns what passed.
func scanParts(data string, size int) (passed string, err error) {
	s := responseScanner{part: partStatusLine}
	for len(data) > 0 && err == nil {
		next := data[:min(size, len(data))]
		var sound int
		sound, err = s.scan([]byte(next))
		passed += next[:sound]
		data = data[len(next):]
	}
	return passed, err
}

func TestResponsesAreCheckedHoweverTheyArrive(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7, 1 << 20} {
		for _, response := range soundResponses {
			if passed, err := scanParts(response, size); err != nil || passed != response {
				t.Errorf("%q in parts of %d: %q passed, error %v", response, size, passed, err)
			}
		}
		for _, response := range malformedResponses {
			sound, rest, _ := strings.Cut(response, "|")
			passed, err := scanParts(sound+rest, size)
			line, _, _ := strings.Cut(rest, "\n")
			// What arrived of the malformed line before its end has passed.
			if !strings.HasPrefix(passed, sound) || !strings.HasPrefix(sound+line, passed) {
				t.Errorf("%q in parts of %d: %q passed", response, size, passed)
			}
			var malformed *MalformedError
			if !errors.As(err, &malformed) || len(malformed.Line) > maxQuotedBytes {
				t.Errorf("%q in parts of %d: error %v", response, size, err)
			}
		}
	}
}

func TestNothingPassesAfterAMalformedLine(t *testing.T) {
	s := responseScanner{part: partStatusLine}
	for range 2 {
		if sound, err := s.scan([]byte("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")); sound != 0 || err == nil {
			t.Errorf("%d bytes passed, error %v", sound, err)
		}
	}
}

// Guards against a framing that the check follows otherwise than net/http does, so that it would take a
// body for a head or trailer. The bodies are lines that no field can be.
func TestAnyFramingIsFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire strings.Builder
		for range rapid.IntRange(0, 2).Draw(t, "informational") {
			wire.WriteString("HTTP/1.1 103 Early Hints\r\nLink: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		}
		body := strings.Repeat(" a b\r\n: c\r\n", rapid.IntRange(0, 20).Draw(t, "lines"))
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodHead}).Draw(t, "method")
		status := rapid.SampledFrom([]string{"200", "204", "304", "500"}).Draw(t, "status")
		version := rapid.SampledFrom([]string{"HTTP/1.0", "HTTP/1.1"}).Draw(t, "version")
		chunked := version == "HTTP/1.1" && rapid.Bool().Draw(t, "chunked")
		trailer := chunked && rapid.Bool().Draw(t, "malformed trailer")
		wire.WriteString(version + " " + status + " Any\r\nX: y\r\n")
		if chunked {
			wire.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for rest := body; rest != ""; {
				size := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				fmt.Fprintf(&wire, "%x\r\n%s\r\n", size, rest[:size])
				rest = rest[size:]
			}
			wire.WriteString("0\r\nX-Trailer: y\r\n")
			if trailer {
				wire.WriteString("a b: c\r\n")
			}
			wire.WriteString("\r\n")
		} else {
			fmt.Fprintf(&wire, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		s := responseScanner{part: partStatusLine, bodyless: method == http.MethodHead}
		var err error
		for rest := wire.String(); rest != "" && err == nil; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "part")
			_, err = s.scan([]byte(rest[:size]))
			rest = rest[size:]
		}
		if want := trailer && method == http.MethodGet && status != "204" && status != "304"; (err != nil) != want {
			t.Fatalf("%q: error %v, want one: %v", wire.String(), err, want)
		}
	})
}
