package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
)

// faultyStreams serves streams of six events that name their request. Some connections end in the
// middle of an event, others bring a second response late.
type faultyStreams struct{ runs, onKept atomic.Int64 }

const (
	faultyStreamEvents = 6
	runsPerBreak       = 31
	runsPerSurplus     = 97
)

func (f *faultyStreams) serve(conn net.Conn, requests *bufio.Reader) {
	chunk := func(data string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data) }
	head := func(id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Signed: e\r\nT-Keep: 10s\r\nT-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	}
	for served := 0; ; served++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if served > 0 {
			f.onKept.Add(1)
		}
		run, id := f.runs.Add(1), r.Header.Get("T-Id")
		head(id)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= faultyStreamEvents; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
			if run%runsPerBreak == 0 && n > faultyStreamEvents/2 {
				_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
				return
			}
			chunk(event)
			time.Sleep(time.Duration(run%3) * time.Millisecond / 2)
		}
		chunk("")
		if run%runsPerSurplus == 0 {
			head([]string{id, ""}[run%2])
			chunk("id: 7\ndata: surplus\n\n")
			chunk("")
		}
	}
}

// TestProofStreamsOnKeptConnectionsAreTheirOwn guards against bytes of an earlier stream in a later one. A quarter of
// the callers leave early; with the race detector it also checks what attempts know of a connection that is another's by then.
func TestProofStreamsOnKeptConnectionsAreTheirOwn(t *testing.T) {
	const callers, requests, endpoints = 16, 100, 8
	var f faultyStreams
	g := newTestRouter(t, 0, nil)
	var list []catalog.Endpoint
	for i := range endpoints {
		list = append(list, rawEndpoint(t, "e"+strconv.Itoa(i), f.serve))
	}
	g.router.ReplaceEndpoints(list)
	var whole atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range requests {
				id := fmt.Sprintf("r%d-%d", caller, i)
				next, complete := g.readOwnStream([]string{"/stream/a", "/resumed/a"}[i%2], id, i%4 == 3)
				if complete && next <= faultyStreamEvents {
					t.Errorf("stream %s looks complete before event %d", id, next)
				}
				if complete {
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	if whole.Load() < callers*requests/2 || f.onKept.Load() < callers*requests/10 {
		t.Errorf("%d streams complete, %d runs on kept connections", whole.Load(), f.onKept.Load())
	}
}

// readOwnStream reads the stream of a request and checks its events. It returns the number of the
// next event and whether the stream is complete. A caller that leaves does so after two events.
func (g *testRouter) readOwnStream(path, id string, leaves bool) (next int, complete bool) {
	next = 1
	req, err := g.request(http.MethodPost, path, "x", "T-Id", id)
	if err != nil {
		g.t.Error(err)
		return next, false
	}
	ctx, cancel := context.WithCancel(g.t.Context())
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return next, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() && resp.StatusCode == http.StatusOK {
		number, isID := strings.CutPrefix(lines.Text(), "id: ")
		if isID && number != strconv.Itoa(next) {
			g.t.Errorf("stream %s: event %s instead of %d", id, number, next)
		}
		if isID {
			next++
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && data != id {
			g.t.Errorf("stream %s has data of %s", id, data)
		}
		if leaves && next > 2 {
			return next, false
		}
	}
	return next, lines.Err() == nil && resp.StatusCode == http.StatusOK
}
