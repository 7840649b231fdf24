package direct

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// initialEventBufferBytes is the initial buffer size of the event scanner.
	initialEventBufferBytes = 4 << 10
)

var (
	emptyLine     = []byte("\n\n")
	emptyLineCRLF = []byte("\n\r\n")
	idField       = []byte("id:")
	dataField     = []byte("data:")
	dataLine      = []byte("\ndata:")
)

// splitEvents is a bufio.SplitFunc that splits a stream into events, each including
// the empty line that terminates it. A remainder without that line is an error.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := eventLength(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, &ResponseError{Problem: "the stream ended in the middle of an event"}
	}
	return 0, nil, nil
}

// eventLength returns the length of the first event in data, 0 if it is incomplete. Lines end with LF
// or CRLF.
func eventLength(data []byte) int {
	end := 0
	if i := bytes.Index(data, emptyLine); i >= 0 {
		end = i + len(emptyLine)
		data = data[:end]
	}
	if i := bytes.Index(data, emptyLineCRLF); i >= 0 {
		end = i + len(emptyLineCRLF)
	}
	return end
}

// eventID returns the ID of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// hasData reports whether an event has data. Comments, by which a stream is kept open, have
// none.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine)
}

// forwardStream writes the events of a stream to the caller as they arrive, and only
// complete ones. If it fails before the end of the stream, it sets the attempt's
// outcome.
func (x *exchange) forwardStream(ctx context.Context, a *attempt) {
	defer func() { _ = a.stream.Close() }()
	x.progress.step(eventStream)
	watch := x.watchStream(a)
	defer watch.stop()
	source := &eventSource{exchange: x, attempt: a, ctx: ctx}
	stream := &heldStream{Reader: source, hold: &x.hold}
	defer func() { x.hold.reuse(stream.counted) }()
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, initialEventBufferBytes), maxEventBytes)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		if !a.promptProcessed {
			a.promptProcessed = true
			x.router.markPromptProcessed(a.choice)
			x.recordFirstToken(a)
		}
		stream.taken(len(scanner.Bytes()))
		isData := hasData(scanner.Bytes())
		if isData || !a.answerBegun {
			a.timer.complete()
		} else {
			a.timer.suspend()
		}
		if err := x.forwardEvent(a, scanner.Bytes()); err != nil {
			a.outcome, a.err = outcomeBroken, err
			break
		}
		source.delivered = true
		if isData {
			x.recordAnswerBegun(a)
			watch.dataDelivered()
			source.timed = true
		}
	}
	if source.flushErr != nil && a.err == nil {
		a.outcome, a.err = outcomeBroken, source.flushErr
	}
	if err := x.streamEnd(a, scanner.Err()); err != nil && a.err == nil {
		a.breakOff(errors.WithStack(&ResponseError{Problem: "failed to read the stream", Cause: err}))
		// A stream that was silent for so long has no reader any more.
		a.final = a.timer.overdue() != nil
		var noMemory *MemoryError
		if errors.As(err, &noMemory) {
			a.err, a.crashed, a.final, a.blameless = err, false, true, true
		}
	}
	x.flushBroken(a)
	if ctx.Err() != nil && a.outcome == outcomeBroken {
		a.cancelled()
	}
	if a.outcome == outcomeAnswered {
		x.extendWriteDeadline()
		x.sendHead(a)
		x.endStream()
		x.progress.step(eventEnd)
	}
}

// flushBroken sends the caller the events that came with the failure of an attempt. An error also
// ends the context of the request.
func (x *exchange) flushBroken(a *attempt) {
	if a.outcome == outcomeBroken && x.headSent {
		_ = x.responseController().Flush()
	}
}

// streamEnd returns why a stream that ended isn't complete, nil if it is. Only a stream that goes
// on after an event may have no data.
func (x *exchange) streamEnd(a *attempt, err error) error {
	switch {
	case err != nil || a.err != nil || !a.unframed:
		return err
	case !a.answerBegun && x.lastEventID == "":
		return &ResponseError{Problem: "the stream ended before its first data"}
	default:
		return x.unframedEnd(a)
	}
}

// forwardEvent writes one event to the caller, unless it was delivered before.
func (x *exchange) forwardEvent(a *attempt, event []byte) error {
	id := eventID(event)
	if skip, err := x.checkEventOrder(id); skip || err != nil {
		return err
	}
	x.extendWriteDeadline()
	x.sendHead(a)
	if _, err := x.writer.Write(event); err != nil {
		return errors.WithStack(err)
	}
	if x.eventCount == 0 {
		x.firstByteAt = time.Now()
	}
	x.eventCount++
	if id != "" {
		x.lastEventID = id
	}
	if id != "" || hasData(event) {
		_, err := strconv.ParseInt(id, 10, 64)
		x.unnumbered = err != nil
	}
	return nil
}

// checkEventOrder compares the numeric ID of an event with the last ID delivered. It
// skips an event that was delivered before and fails on a gap. IDs that are not
// numbers aren't checked.
func (x *exchange) checkEventOrder(id string) (skip bool, err error) {
	last, lerr := strconv.ParseInt(x.lastEventID, 10, 64)
	next, nerr := strconv.ParseInt(id, 10, 64)
	if lerr != nil || nerr != nil {
		return false, nil
	}
	if next <= last {
		return true, nil
	}
	if next > last+1 {
		return false, errors.WithStack(&ResponseError{Problem: "event " + id + " received after event " + x.lastEventID})
	}
	return false, nil
}

// sendHead writes the status and headers of a stream once. A resumed stream keeps
// those of its first endpoint.
func (x *exchange) sendHead(a *attempt) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.beginStream(a)
	header := x.writer.Header()
	for name, values := range x.router.opts.Protocol.CallerHeaders(a.header) {
		header[name] = values
	}
	x.announceConnection()
	x.writer.WriteHeader(http.StatusOK)
}

// resetBrokenResponse resets the connection of an HTTP/1.0 caller that has the start of a response.
// An orderly end would make it complete, as the body has no chunks.
func (x *exchange) resetBrokenResponse() {
	if !x.headSent || x.request.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := x.responseController().Hijack()
	if err != nil {
		x.router.logger.Warn("failed to reset the connection of an HTTP/1.0 caller", "request", logged(x.meta.ID), "error", err.Error())
		return
	}
	if caller, ok := conn.(*callerConn); ok {
		conn = caller.Conn
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (x *exchange) responseController() *http.ResponseController {
	return http.NewResponseController(x.writer)
}
