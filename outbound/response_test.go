package outbound

import (
	"errors"
	"strings"
	"testing"
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
