package dispatch

import (
	"jackdawswitch/relay"

	pb "jackdawswitch/api/jackdawv1"
)

// delivery passes one answer on to the caller: a streamed answer as it comes, a
// whole one when it is complete.
type delivery struct {
	stream   bool
	sink     Sink
	assembly *relay.Assembler
	started  *pb.Started
	whole    []byte
	// begun is set once the caller has been answered something.
	begun bool
}

func newDelivery(stream bool, sink Sink) *delivery {
	return &delivery{stream: stream, sink: sink, assembly: relay.New("")}
}

// restart turns to an attempt's answer. It must not be called once the
// caller's answer has begun.
func (d *delivery) restart(attempt string) {
	d.assembly = relay.New(attempt)
	d.started = nil
	d.whole = nil
}

func (d *delivery) offset() int64 { return d.assembly.Offset() }

func (d *delivery) decide(b relay.StreamBreak) relay.Decision { return d.assembly.Decide(b) }

// sinkError tells that the caller could not be written to.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "dispatch: caller: " + e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// take takes a Started or a Chunk event.
func (d *delivery) take(event *pb.RunEvent) error {
	if started := event.GetStarted(); started != nil {
		d.started = started
		return nil
	}
	chunk := event.GetChunk()
	parts, err := d.assembly.AddChunk(chunk.GetAttempt(), chunk.GetOffset(), chunk.GetData())
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
		d.whole = append(d.whole, part...)
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

// TornError tells that an answer ended with bytes missing.
type TornError struct{}

// Error implements error.
func (*TornError) Error() string { return "dispatch: the answer's end came before its last byte" }

// finish takes the end of a whole answer, and writes what was held back.
func (d *delivery) finish(ended *pb.Ended) error {
	if err := d.assembly.SetEnd(ended.GetAttempt(), ended.GetLength(), ended.GetChecksum()); err != nil {
		return err
	}
	if d.assembly.State() != relay.StateComplete {
		return &TornError{}
	}
	return d.write(d.whole)
}
