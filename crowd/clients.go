package crowd

import (
	"fmt"
	"strings"

	"storj.io/drpc/drpcwire"
)

// Heads are clients that send heads of requests without end, up to some bytes, and as many that stop
// in the middle of a head of a size.
func Heads(bytes, midway int) []Client {
	const start = "GET /a HTTP/1.1\r\nHost: h\r\n"
	fields := func(size int) string {
		var out strings.Builder
		for i := 0; out.Len() < size; i++ {
			fmt.Fprintf(&out, "k%d:\r\n", i)
		}
		return out.String()
	}
	block := strings.Repeat("x", writeBytes)
	stopped := Client{Start: start + fields(midway)}
	return []Client{
		stopped,
		{Start: start + fields(bytes)},
		stopped,
		{Start: start + "K: ", More: block, Bytes: bytes},
		stopped,
		{Start: "GET /", More: block, Bytes: bytes},
		stopped,
		{More: strings.Repeat("\r\n", writeBytes/2), Bytes: bytes},
	}
}

// Silent are clients that send nothing, the first byte of a request, or a request without its body.
func Silent() []Client {
	return []Client{{}, {Start: "G"}, {Start: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"}}
}

// Pipelined is a client that sends a request again and again, up to some bytes, and reads no response.
func Pipelined(request string, bytes int) Client {
	return Client{Start: request, More: strings.Repeat(request, 1+writeBytes/len(request)), Bytes: bytes}
}

// Midway is a client that sends the head of a request and then so many bytes of its body, and stops.
func Midway(head string, bytes int) Client {
	return Client{Start: head, More: strings.Repeat("x", writeBytes), Bytes: len(head) + bytes}
}

// HalfMessage is a client that sends the beginning of a message to another process, up to some bytes.
func HalfMessage(bytes int) Client {
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, 2*bytes), Done: true,
	})
	return Client{Start: string(frame[:bytes])}
}

// HalfMessageInFrames is one that sends it in frames, as processes do.
func HalfMessageInFrames(bytes int) Client {
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, 32<<10),
	})
	return Client{Start: string(frame), More: string(frame), Bytes: bytes}
}
