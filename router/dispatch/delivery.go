package dispatch

import (
	"fmt"

	"github.com/pkg/errors"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/outbound"
	"jackdawswitch/relay"
)

// delivery writes one response to the caller: a streamed response chunk by chunk,
// any other response once it is complete.
type delivery struct {
	stream    bool
	sink      Sink
	assembler *relay.Assembler
	started   *pb.Started
	buffered  []byte
	// begun is set once the response to the caller has begun.
	begun bool
}

func newDelivery(stream bool, sink Sink) *delivery {
	return &delivery{stream: stream, sink: sink, assembler: relay.New("")}
}

// restart discards what was assembled and expects the response of attempt. It
// must not be called once the response to the caller has begun.
func (d *delivery) restart(attempt string) {
	d.assembler = relay.New(attempt)
	d.started = nil
	d.buffered = nil
}

func (d *delivery) offset() int64 { return d.assembler.Offset() }

func (d *delivery) decide(b relay.StreamBreak) relay.Decision { return d.assembler.Decide(b) }

// sinkError is a failed write to the caller.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "dispatch: write to the caller: " + e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// InvalidStatusError means that an agent names a status that no response has.
type InvalidStatusError struct{ Status int32 }

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("dispatch: the agent names the status %d", e.Status)
}

// handleEvent processes a Started or a Chunk event.
func (d *delivery) handleEvent(event *pb.RunEvent) error {
	if started := event.GetStarted(); started != nil {
		if !outbound.IsFinal(int(started.GetStatus())) {
			return errors.WithStack(&InvalidStatusError{Status: started.GetStatus()})
		}
		d.started = started
		return nil
	}
	chunk := event.GetChunk()
	parts, err := d.assembler.AddChunk(chunk.GetAttempt(), chunk.GetOffset(), chunk.GetData())
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err := d.deliver(part); err != nil {
			return err
		}
	}
	return nil
}

func (d *delivery) deliver(part []byte) error {
	if !d.stream {
		d.buffered = append(d.buffered, part...)
		return nil
	}
	return d.write(part)
}

func (d *delivery) write(data []byte) error {
	if !d.begun {
		d.begun = true
		if err := d.sink.Begin(int(d.started.GetStatus()), d.started.GetContentType()); err != nil {
			return &sinkError{err: err}
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := d.sink.Write(data); err != nil {
		return &sinkError{err: err}
	}
	return nil
}

// IncompleteResponseError means that a response ended with bytes missing.
type IncompleteResponseError struct{}

// Error implements error.
func (*IncompleteResponseError) Error() string {
	return "dispatch: the response ended with bytes missing"
}

// finish checks that the response is complete and writes what was buffered. It
// begins the response if no byte was written yet.
func (d *delivery) finish(ended *pb.Ended) error {
	if err := d.assembler.SetEnd(ended.GetAttempt(), ended.GetLength(), ended.GetChecksum()); err != nil {
		return err
	}
	if d.assembler.State() != relay.StateComplete {
		return &IncompleteResponseError{}
	}
	return d.write(d.buffered)
}
