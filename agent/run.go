package agent

import (
	"context"
	"time"

	"jackdawswitch/agent/answer"
	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

const (
	// abandonGrace is how long an attempt runs without a reader before it is
	// cancelled, so that another router can attach to it.
	abandonGrace = 15 * time.Second
	// maxChunkBytes bounds the data of one chunk.
	maxChunkBytes = 32 << 10
)

// run is an accepted attempt with its response. All fields but buffer are guarded
// by the agent's mutex.
type run struct {
	id     string
	req    *pb.RunRequest
	buffer *answer.Buffer
	// cancel cancels the call to the endpoint; it is nil until the attempt starts.
	cancel context.CancelCauseFunc
	// startedAt is when the call to the endpoint began.
	startedAt time.Time
	// ended is set before the buffer is closed.
	ended *pb.Ended
	// readers counts the streams that follow the run.
	readers int
	// abandonTimer cancels the attempt after abandonGrace without a reader.
	abandonTimer *time.Timer
}

// CancelError is the context cause of a cancelled attempt.
type CancelError struct {
	Cause refusal.Cause
}

// Error implements error.
func (e *CancelError) Error() string { return "agent: attempt cancelled: " + string(e.Cause) }

// Service is the RPC service of an agent. It implements pb.DRPCAgentServer.
type Service struct {
	agent *Agent
}

var _ pb.DRPCAgentServer = (*Service)(nil)

// Run implements pb.DRPCAgentServer.
func (s *Service) Run(req *pb.RunRequest, stream pb.DRPCAgent_RunStream) error {
	a := s.agent
	admitted, err := a.admit(time.Now(), req)
	if err != nil {
		a.opts.Scope.Tagged(map[string]string{"cause": string(err.Cause)}).Counter("attempts_refused").Inc(1)
		return sendRefusal(stream, req.GetAttempt(), err)
	}
	return a.streamEvents(stream, admitted, 0)
}

// Attach implements pb.DRPCAgentServer.
func (s *Service) Attach(req *pb.AttachRequest, stream pb.DRPCAgent_AttachStream) error {
	a := s.agent
	a.mu.Lock()
	id, _, ok := a.registry.Find(req.GetAttempt(), req.GetPartition(), req.GetKey())
	known := a.runs[id]
	if ok && known != nil {
		a.addReaderLocked(known)
	}
	a.mu.Unlock()
	if !ok || known == nil {
		err := refusal.MayHaveRun(refusal.CauseUnknownAttempt, "the agent knows no such attempt")
		return sendRefusal(stream, req.GetAttempt(), err)
	}
	return a.streamEvents(stream, known, max(req.GetOffset(), 0))
}

// eventStream is the stream on which Run and Attach send events.
type eventStream interface {
	Context() context.Context
	Send(*pb.RunEvent) error
}

func sendRefusal(stream eventStream, id string, err *refusal.Error) error {
	return stream.Send(endedEvent(&pb.Ended{Attempt: id, Refusal: err.ToProto()}))
}

func endedEvent(ended *pb.Ended) *pb.RunEvent {
	return &pb.RunEvent{Event: &pb.RunEvent_Ended{Ended: ended}}
}

// admit decides on an attempt and returns the run to follow, with the caller
// counted as its reader.
func (a *Agent) admit(now time.Time, req *pb.RunRequest) (*run, *refusal.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	admission := a.registry.Admit(now, req)
	if admission.Decision == attempt.DecisionRefuse {
		return nil, admission.Refusal
	}
	if admission.Decision == attempt.DecisionJoin {
		known := a.runs[admission.Attempt]
		invariant.Assert(known != nil, "a joined attempt has a run", "attempt", admission.Attempt)
		a.addReaderLocked(known)
		return known, nil
	}
	added := &run{id: admission.Attempt, req: req, buffer: answer.New()}
	a.runs[added.id] = added
	a.addReaderLocked(added)
	if admission.Decision == attempt.DecisionStart {
		a.startRunLocked(added)
	}
	return added, nil
}

func (a *Agent) addReaderLocked(r *run) {
	r.readers++
	a.readers++
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
		r.abandonTimer = nil
	}
}

// removeReader removes a reader. A repeatable attempt without a reader is
// cancelled after abandonGrace.
func (a *Agent) removeReader(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	a.readers--
	a.notifyProgressLocked()
	if r.readers > 0 || r.ended != nil || !a.registry.Repeatable(r.id) {
		return
	}
	r.abandonTimer = time.AfterFunc(abandonGrace, func() { a.cancelAbandoned(r) })
}

// cancelAbandoned cancels an attempt that still has no reader.
func (a *Agent) cancelAbandoned(r *run) {
	a.mu.Lock()
	noReaders := r.readers == 0
	a.mu.Unlock()
	if noReaders {
		a.opts.Scope.Counter("attempts_abandoned").Inc(1)
		a.cancelAttempt(r.id, refusal.CauseStreamBroken)
	}
}

// streamEvents sends a run's events from an offset of its response on, as they
// arrive. It reads from the run's buffer, so that a slow stream does not block
// the endpoint.
func (a *Agent) streamEvents(stream eventStream, r *run, offset int64) error {
	defer a.removeReader(r)
	ctx := stream.Context()
	summary, err := r.buffer.WaitStart(ctx)
	if err != nil {
		return err
	}
	if summary.Started {
		if err := stream.Send(a.startedEvent(r, summary)); err != nil {
			return err
		}
	}
	for {
		data, err := r.buffer.Next(ctx, offset, maxChunkBytes)
		if ctx.Err() != nil {
			return err
		}
		if err != nil {
			return a.sendResponseForgotten(stream, r)
		}
		if len(data) == 0 {
			return stream.Send(endedEvent(a.endedOf(r)))
		}
		chunk := &pb.Chunk{Attempt: r.id, Offset: offset, Data: data}
		if err := stream.Send(&pb.RunEvent{Event: &pb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
		offset += int64(len(data))
	}
}

func (a *Agent) startedEvent(r *run, summary answer.Summary) *pb.RunEvent {
	return &pb.RunEvent{Event: &pb.RunEvent_Started{Started: &pb.Started{
		Attempt:     r.id,
		Endpoint:    a.opts.Settings.Endpoint,
		Status:      int32(summary.Status),
		ContentType: summary.ContentType,
	}}}
}

// endedOf returns how a run with a closed response ended.
func (a *Agent) endedOf(r *run) *pb.Ended {
	a.mu.Lock()
	defer a.mu.Unlock()
	invariant.Assert(r.ended != nil, "a closed answer has an end", "attempt", r.id)
	return r.ended
}

// sendResponseForgotten ends a stream whose response bytes are no longer kept.
// The request ran and stays billed.
func (a *Agent) sendResponseForgotten(stream eventStream, r *run) error {
	ended := a.endedOf(r)
	err := &refusal.Error{
		Cause:    refusal.CauseAnswerForgotten,
		Detail:   "the answer is no longer kept",
		RunState: ended.GetReceipt().GetRunState(),
		Billed:   true,
	}
	return stream.Send(endedEvent(&pb.Ended{
		Attempt:  r.id,
		Length:   ended.GetLength(),
		Checksum: ended.GetChecksum(),
		Receipt:  ended.GetReceipt(),
		Refusal:  err.ToProto(),
	}))
}
