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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// eventBuffer is the first buffer of a stream's reader.
	eventBuffer = 4 << 10
)

var (
	eventEndMark = []byte("\n\n")
	idField      = []byte("id:")
)

// splitEvents is a bufio.SplitFunc for the events of a stream, each with the
// empty line that ends it. A rest without that line is not an event.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.Index(data, eventEndMark); end >= 0 {
		end += len(eventEndMark)
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, &AnswerError{Problem: "the stream ended within an event"}
	}
	return 0, nil, nil
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// relay passes the events of a stream on as they come, whole ones only. It sets
// the attempt's outcome.
func (x *exchange) relay(ctx context.Context, a *attempt) {
	defer func() { _ = a.stream.Close() }()
	x.progress.step(eventStream)
	scanner := bufio.NewScanner(a.stream)
	scanner.Buffer(make([]byte, 0, eventBuffer), maxEventBytes)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		if !a.promptRead {
			a.promptRead = true
			x.router.promptRead(a.choice)
		}
		if err := x.pass(a, scanner.Bytes()); err != nil {
			a.outcome, a.err = outcomeBroken, err
			break
		}
	}
	if err := scanner.Err(); err != nil && a.err == nil {
		a.outcome, a.crashed = outcomeBroken, true
		a.err = errors.WithStack(&AnswerError{Problem: "the stream broke off", Cause: err})
	}
	if ctx.Err() != nil && a.outcome == outcomeBroken {
		a.outcome, a.crashed = outcomeCancelled, false
	}
	if a.outcome == outcomeAnswered {
		x.sendHead(a)
		x.progress.step(eventEnd)
	}
}

// pass gives the caller one event, in order and once.
func (x *exchange) pass(a *attempt, event []byte) error {
	id := eventID(event)
	if skip, err := x.checkOrder(id); skip || err != nil {
		return err
	}
	x.sendHead(a)
	if _, err := x.writer.Write(event); err != nil {
		return errors.WithStack(err)
	}
	if err := x.control().Flush(); err != nil {
		return errors.WithStack(err)
	}
	if x.events == 0 {
		x.firstAt = time.Now()
	}
	x.events++
	if id != "" {
		x.lastEvent = id
	}
	return nil
}

// checkOrder compares an event's number with the last one that was delivered:
// one that was delivered before is skipped, one too far ahead breaks the stream.
func (x *exchange) checkOrder(id string) (skip bool, err error) {
	last, lerr := strconv.ParseInt(x.lastEvent, 10, 64)
	next, nerr := strconv.ParseInt(id, 10, 64)
	if lerr != nil || nerr != nil {
		return false, nil
	}
	if next <= last {
		return true, nil
	}
	if next > last+1 {
		return false, errors.WithStack(&AnswerError{Problem: "event " + id + " follows " + x.lastEvent})
	}
	return false, nil
}

// sendHead sends the head of the answer once. A resumed stream keeps the head
// of its first endpoint.
func (x *exchange) sendHead(a *attempt) {
	if x.headSent {
		return
	}
	x.headSent = true
	header := x.writer.Header()
	for name, values := range x.router.opts.Protocol.Returned(a.header) {
		header[name] = values
	}
	x.writer.WriteHeader(http.StatusOK)
}

func (x *exchange) control() *http.ResponseController {
	return http.NewResponseController(x.writer)
}
