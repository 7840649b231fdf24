// Package loadgen generates a bounded open-loop load on a router's callers' API
// and measures the responses. Requests are due at fixed intervals regardless of
// response times, and latency counts from the time at which a request was due,
// so that a slow router does not hide its own delay.
package loadgen

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	progressInterval = time.Second
	requestTimeout   = 2 * time.Minute

	// Range of the latency histograms in microseconds, and their precision in
	// significant digits.
	lowestMicros    = 1
	highestMicros   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3

	maxRate        = 100_000
	maxConcurrency = 100_000
	maxDuration    = 24 * time.Hour
)

// Options configure the load and its target.
type Options struct {
	// BaseURL is the URL of the router's callers' API, without the path /v1.
	BaseURL string
	// Keys are API keys of workspaces, used round robin.
	Keys  []string
	Model string
	// Prompt is the start of each prompt; the index of the request follows it.
	Prompt    string
	MaxTokens int
	Stream    bool
	// Rate is the number of requests due per second.
	Rate     float64
	Duration time.Duration
	// Concurrency limits the requests in flight. A request that is due at the
	// limit is not sent and is counted in Result.Unsent.
	Concurrency int
	// Transport sends the requests; nil means an http.Transport that keeps
	// Concurrency idle connections.
	Transport http.RoundTripper
	// Progress is called about once a second with the result so far; nil
	// disables it.
	Progress func(Result)
	// Verify reports whether the response is the right one for the prompt; with
	// nil, only its completeness is checked.
	Verify func(prompt, response string) bool
}

// OptionError reports a missing option or one out of range.
type OptionError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *OptionError) Error() string { return "loadgen: " + e.Option + " " + e.Problem }

func (o *Options) validate() error {
	switch {
	case o.BaseURL == "":
		return &OptionError{Option: "base URL", Problem: "is missing"}
	case len(o.Keys) == 0:
		return &OptionError{Option: "keys", Problem: "are missing"}
	case o.Model == "":
		return &OptionError{Option: "model", Problem: "is missing"}
	case o.Rate <= 0 || o.Rate > maxRate:
		return &OptionError{Option: "rate", Problem: fmt.Sprintf("must be above 0 and at most %d requests a second", maxRate)}
	case o.Duration <= 0 || o.Duration > maxDuration:
		return &OptionError{Option: "duration", Problem: fmt.Sprintf("must be above 0 and at most %v", maxDuration)}
	case o.Concurrency < 1 || o.Concurrency > maxConcurrency:
		return &OptionError{Option: "concurrency", Problem: fmt.Sprintf("must be from 1 to %d", maxConcurrency)}
	case o.MaxTokens < 1:
		return &OptionError{Option: "max tokens", Problem: "must be at least 1"}
	}
	return nil
}

// Run sends the load to the router, waits for the requests in flight and returns
// the result. When ctx ends, it sends no more requests and cancels those in
// flight. Invalid options give an *OptionError.
func Run(ctx context.Context, opts Options) (Result, error) {
	if err := opts.validate(); err != nil {
		return Result{}, err
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConns: opts.Concurrency, MaxIdleConnsPerHost: opts.Concurrency}
	}
	g := &generator{
		opts:    opts,
		runID:   rand.Text(),
		started: time.Now(),
		slots:   make(chan struct{}, opts.Concurrency),
		tally:   newTally(),
	}
	stop := g.reportProgress(ctx)
	g.sendAll(ctx)
	g.inFlight.Wait()
	stop()
	return g.result(), nil
}

type generator struct {
	opts     Options
	runID    string
	started  time.Time
	slots    chan struct{}
	inFlight sync.WaitGroup

	mu    sync.Mutex
	tally tally
}

// reportProgress calls Options.Progress at intervals and returns a function that
// stops it and waits until it has stopped.
func (g *generator) reportProgress(ctx context.Context) func() {
	if g.opts.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				g.opts.Progress(g.result())
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

func (g *generator) sendAll(ctx context.Context) {
	interval := float64(time.Second) / g.opts.Rate
	timer := time.NewTimer(0)
	defer timer.Stop()
	for index := 0; ; index++ {
		due := time.Duration(float64(index) * interval)
		if due >= g.opts.Duration {
			return
		}
		timer.Reset(time.Until(g.started.Add(due)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		g.send(ctx, index, g.started.Add(due))
	}
}

// send sends one request in a new goroutine, or counts it as unsent if the limit of
// requests in flight is reached.
func (g *generator) send(ctx context.Context, index int, due time.Time) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.record(func(t *tally) { t.unsent++ })
		return
	}
	g.record(func(t *tally) { t.sent++ })
	g.inFlight.Go(func() {
		defer func() { <-g.slots }()
		got := g.request(ctx, index, due)
		g.record(func(t *tally) { t.add(got) })
	})
}

func (g *generator) record(change func(*tally)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.tally)
}

func (g *generator) result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tally.result(time.Since(g.started))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, histogramDigits)
}
