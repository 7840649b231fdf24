package outbound

import (
	"strings"
	"testing"
)

// BenchmarkCheck checks a head and 50 chunks, each of them read by itself.
func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Load: 3,0,8\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\n\r\n")
	chunk := []byte("40\r\n" + strings.Repeat("x", 0x40) + "\r\n")
	b.ReportAllocs()
	for b.Loop() {
		s := responseScanner{part: partStatusLine}
		if _, err := s.scan(head); err != nil {
			b.Fatal(err)
		}
		for range 50 {
			if _, err := s.scan(chunk); err != nil {
				b.Fatal(err)
			}
		}
	}
}
