package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/packages/ssestream"
)

const (
	// doneMarker is the data of the last event of a stream.
	doneMarker = "[DONE]"
	// maxResumes limits the attempts to resume one stream.
	maxResumes = 3
)

// IncompleteStreamError reports a stream that ended without doneMarker.
type IncompleteStreamError struct{}

// Error implements error.
func (*IncompleteStreamError) Error() string { return "engine: the stream ended early" }

// readStream copies the raw bytes of a stream to sink and reads the usage from
// its events.
func readStream(ctx context.Context, resp *http.Response, source io.ReadCloser, sink Sink, result *Result) error {
	teeResp := *resp
	teeResp.Body = struct {
		io.Reader
		io.Closer
	}{io.TeeReader(source, sink), source}
	decoder := ssestream.NewDecoder(&teeResp)
	done := false
	for decoder.Next() {
		data := bytes.TrimSpace(decoder.Event().Data)
		if string(data) == doneMarker {
			done = true
			continue
		}
		var chunk openai.ChatCompletionChunk
		if len(data) > 0 && json.Unmarshal(data, &chunk) == nil {
			result.recordUsage(chunk.Usage)
		}
	}
	if err := decoder.Err(); err != nil {
		return connectionError(ctx, "chat", err)
	}
	if !done {
		return connectionError(ctx, "chat", &IncompleteStreamError{})
	}
	return nil
}

// resumingReader reads the body of a stream. If the connection breaks, it asks
// the engine to resume the stream at the current offset. If the engine can't,
// Read returns the error of the connection.
type resumingReader struct {
	ctx    context.Context
	client *Client
	id     string
	body   io.ReadCloser
	// offset is the number of bytes read so far.
	offset        int64
	resumes       int
	resumedBodies []io.Closer
}

// Read implements io.Reader.
func (r *resumingReader) Read(p []byte) (int, error) {
	for {
		n, err := r.body.Read(p)
		r.offset += int64(n)
		if n > 0 || err == nil || err == io.EOF {
			if n > 0 {
				err = nil
			}
			return n, err
		}
		if r.ctx.Err() != nil || r.resumes >= maxResumes || !r.resume() {
			return 0, err
		}
	}
}

// Close implements io.Closer.
func (r *resumingReader) Close() error { return r.body.Close() }

func (r *resumingReader) closeResumed() {
	for _, body := range r.resumedBodies {
		_ = body.Close()
	}
}

// resume requests the rest of the stream and reports whether reading can go on.
func (r *resumingReader) resume() bool {
	r.resumes++
	path := "/v1/streams/" + url.PathEscape(r.id) + "?offset=" + strconv.FormatInt(r.offset, 10)
	resp, err := r.client.send(r.ctx, "resume", http.MethodGet, path, make(http.Header), nil) //nolint:bodyclose // closeResumed closes it.
	if err != nil {
		return false
	}
	r.resumedBodies = append(r.resumedBodies, resp.Body)
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		return false
	}
	r.client.scope.Counter("engine_resumes").Inc(1)
	r.body = resp.Body
	return true
}
