package agent

import (
	"context"
	"sync"
	"time"

	"jackdawswitch/agent/answer"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/engine"
)

const (
	// loadInterval is the time between two reads of the engine's load.
	loadInterval = 2 * time.Second
	// averageWeight is the weight of the newest sample in moving averages.
	averageWeight = 0.2
)

// timedSink records when the first and the last bytes of a response arrive.
type timedSink struct {
	*answer.Buffer
	startedAt time.Time
	firstByte time.Time
	lastByte  time.Time
}

// Write implements io.Writer.
func (s *timedSink) Write(p []byte) (int, error) {
	s.lastByte = time.Now()
	if s.firstByte.IsZero() {
		s.firstByte = s.lastByte
	}
	return s.Buffer.Write(p)
}

// loadTracker holds the load, models and latencies of the endpoint. It is safe
// for concurrent use.
type loadTracker struct {
	mu sync.Mutex
	// firstToken and interToken are moving averages of the time to the first
	// token and between tokens.
	firstToken time.Duration
	interToken time.Duration
	models     []string
	// age is how old the engine's load was at updatedAt.
	age       time.Duration
	updatedAt time.Time
}

// observe adds the latencies of one response to the moving averages.
func (t *loadTracker) observe(sink *timedSink, result engine.Result) {
	if sink.firstByte.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstToken = movingAverage(t.firstToken, sink.firstByte.Sub(sink.startedAt))
	if tokens := result.Usage.CompletionTokens; tokens > 1 {
		t.interToken = movingAverage(t.interToken, sink.lastByte.Sub(sink.firstByte)/time.Duration(tokens-1))
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return time.Duration((1-averageWeight)*float64(old) + averageWeight*float64(sample))
}

func (t *loadTracker) update(load engine.Load, models []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models = models
	t.age = time.Duration(load.AgeMS) * time.Millisecond
	t.updatedAt = time.Now()
}

func (t *loadTracker) toProto() *pb.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	msg := &pb.Load{
		FirstTokenUs: t.firstToken.Microseconds(),
		InterTokenUs: t.interToken.Microseconds(),
		Models:       t.models,
	}
	if !t.updatedAt.IsZero() {
		msg.AgeMs = (t.age + time.Since(t.updatedAt)).Milliseconds()
	}
	return msg
}

// loadLoop reads the load and the models of a model engine until ctx ends. A
// plain service has neither.
func (a *Agent) loadLoop(ctx context.Context) error {
	if a.opts.Settings.Kind == "plain" {
		return nil
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		a.updateLoad(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Agent) updateLoad(ctx context.Context) {
	models, err := a.engine.Models(ctx)
	if err != nil {
		a.opts.Scope.Counter("load_failures").Inc(1)
		return
	}
	// Not every engine publishes its load.
	load, err := a.engine.Load(ctx)
	if err != nil {
		a.opts.Scope.Counter("load_failures").Inc(1)
	}
	a.load.update(load, models)
}
