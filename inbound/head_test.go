package inbound

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"
)

// TestHeadScannerFindsTheEndOfAHead checks sizes, lines and completeness.
func TestHeadScannerFindsTheEndOfAHead(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		text        string
		size, lines int
		complete    bool
	}{
		"whole":              {head, len(head), 3, true},
		"with a body":        {head + "\r\n\r\nbody\n\n", len(head), 3, true},
		"bare line feeds":    {"GET / HTTP/1.1\nHost: h\n\nx", 24, 3, true},
		"empty lines before": {"\r\n\n\r\n" + head, len(head), 3, true},
		"only empty lines":   {strings.Repeat("\r\n", 1000), 0, 0, false},
		"midway":             {head[:20], 20, 1, false},
		"one line":           {strings.Repeat("x", 5000), 5000, 0, false},
	} {
		var s headScanner
		s.scan([]byte(c.text))
		if s.size != c.size || s.lines != c.lines || s.complete != c.complete {
			t.Errorf("%s: size %d, lines %d, complete %v; want %d, %d, %v", name, s.size, s.lines, s.complete, c.size, c.lines, c.complete)
		}
	}
}

// TestHeadScannerDoesNotDependOnReads checks that it makes no difference how a head is cut into reads.
func TestHeadScannerDoesNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\r\n", "\n", "a: b", "x", "\r"})).Draw(t, "text"), "")
		var whole, cut headScanner
		whole.scan([]byte(text))
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			cut.scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		if whole != cut {
			t.Fatalf("%q: %+v at once, %+v in reads", text, whole, cut)
		}
	})
}

// TestOrdinaryHeadsCostNothing has a usual head, and one of many fields.
func TestOrdinaryHeadsCostNothing(t *testing.T) {
	var usual, many headScanner
	usual.scan([]byte("POST /a HTTP/1.1\r\n" + strings.Repeat("X-Field: "+strings.Repeat("v", 50)+"\r\n", 20) + "\r\n"))
	if usual.cost() != 0 {
		t.Errorf("a usual head costs %d", usual.cost())
	}
	for i := range 3000 {
		many.scan(fmt.Appendf(nil, "k%d:\r\n", i))
	}
	if many.cost() < 3000*headLineCost*9/10 {
		t.Errorf("3000 fields cost %d", many.cost())
	}
}

// TestMessageScannerFollowsMessages compares the scanner with the frames of drpc.
func TestMessageScannerFollowsMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s messageScanner
		for message := range rapid.IntRange(1, 6).Draw(t, "messages") {
			var size int64
			frames := rapid.IntRange(1, 4).Draw(t, "frames")
			for frame := range frames {
				data := drpcwire.AppendFrame(nil, drpcwire.Frame{
					ID:   drpcwire.ID{Stream: rapid.Uint64().Draw(t, "stream"), Message: uint64(message) + 1},
					Kind: drpcwire.KindMessage, Done: frame == frames-1,
					Data: make([]byte, rapid.IntRange(0, maxFrameBytes).Draw(t, "size")),
				})
				for rest := data; len(rest) > 0; {
					n := rapid.IntRange(1, len(rest)).Draw(t, "read")
					s.scan(rest[:n])
					size += int64(n)
					rest = rest[n:]
					if !s.between() && s.size != size {
						t.Fatalf("size %d, want %d", s.size, size)
					}
				}
				if s.between() != (frame == frames-1) {
					t.Fatalf("frame %d of %d: between messages %v", frame, frames, s.between())
				}
			}
		}
		if s.frameTooLarge {
			t.Fatal("a frame counts as too large")
		}
	})
}

// TestMessageScannerRefusesLargeFrames has a frame larger than those of drpc.
func TestMessageScannerRefusesLargeFrames(t *testing.T) {
	var s messageScanner
	s.scan(drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Data: make([]byte, maxFrameBytes+1)})[:10])
	if !s.frameTooLarge {
		t.Error("the frame doesn't count as too large")
	}
}

// TestMessageScannerCountsTheBufferThatIsKept has a large message and then small ones.
func TestMessageScannerCountsTheBufferThatIsKept(t *testing.T) {
	const size = 60 << 10
	var s messageScanner
	send := func(bytes int) {
		s.scan(drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Data: make([]byte, bytes), Done: true}))
	}
	send(size)
	for range smallRun {
		if s.cost() < (size-ordinaryMessageBytes)*messageByteCost {
			t.Fatalf("cost %d while the buffer is kept", s.cost())
		}
		send(100)
	}
	send(100)
	if s.cost() != 0 {
		t.Errorf("cost %d after %d small messages", s.cost(), smallRun+1)
	}
}

// FuzzScanners has any bytes. The scanners must not panic, and count no more than there is.
func FuzzScanners(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x03, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x80, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var head headScanner
		var message messageScanner
		head.scan(data)
		message.scan(data)
		if head.size > len(data) || message.size > int64(len(data)) {
			t.Errorf("%d bytes of a head and %d of a message in %d", head.size, message.size, len(data))
		}
	})
}
