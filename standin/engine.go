package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"jackdawswitch/agent/answer"
)

// EngineOptions configures a model engine. A duration of 0 means no delay.
type EngineOptions struct {
	// Models are the models that are loaded initially. If it is empty, the engine
	// serves any model.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests that run at once; 0 means 8.
	Slots int `json:"slots,omitempty"`
	// QueueLimit is the number of requests that may wait; 0 means 64.
	QueueLimit int `json:"queueLimit,omitempty"`
	// PrefillTime is the time per prompt token that is not cached.
	PrefillTime time.Duration `json:"prefillTime,omitempty"`
	// TokenTime is the time per generated token.
	TokenTime time.Duration `json:"tokenTime,omitempty"`
	// CacheBlocks is the capacity of the prefix cache in blocks of BlockWords
	// words; 0 disables the cache.
	CacheBlocks int `json:"cacheBlocks,omitempty"`
	// EventDelay is the delay before a cache event is published.
	EventDelay time.Duration `json:"eventDelay,omitempty"`
	// EventGap loses every EventGap-th cache event; 0 loses none.
	EventGap uint64 `json:"eventGap,omitempty"`
	// LoadLag is the age of the published load.
	LoadLag time.Duration `json:"loadLag,omitempty"`
	// WeightTime is the time to load the weights of a model or an adapter.
	WeightTime time.Duration `json:"weightTime,omitempty"`
	// IgnoreFencing makes the engine accept orders with outdated fencing numbers.
	IgnoreFencing bool `json:"ignoreFencing,omitempty"`
	// CrashMark is a text that crashes the engine if a prompt contains it; empty
	// means no text does.
	CrashMark string `json:"crashMark,omitempty"`
	// CrashTokens is the number of tokens that are generated before that crash.
	CrashTokens int `json:"crashTokens,omitempty"`
	// CrashTime is how long a crashed engine closes every connection.
	CrashTime time.Duration `json:"crashTime,omitempty"`
	// ResumeTime is how long a request with an ID keeps running, and keeps its
	// answer, after its last reader has left. 0 cancels the request when its
	// connection ends.
	ResumeTime time.Duration `json:"resumeTime,omitempty"`
}

const (
	defaultSlots      = 8
	defaultQueueLimit = 64
)

// EngineFaults are the faults that an engine injects.
type EngineFaults struct {
	// Down closes every connection.
	Down bool `json:"down,omitempty"`
	// Stalled stops the generation of tokens.
	Stalled bool `json:"stalled,omitempty"`
	// Slowdown multiplies the time per generated token; 0 means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Refuse rejects new requests with status 429.
	Refuse bool `json:"refuse,omitempty"`
}

// EngineStats holds the counters of an engine.
type EngineStats struct {
	// Runs is the number of requests that got a slot and started; RunsByID counts
	// those with an ID by their ID.
	Runs     int64          `json:"runs"`
	RunsByID map[string]int `json:"runsById"`
	// Tokens is the number of tokens generated.
	Tokens  int64 `json:"tokens"`
	Crashes int64 `json:"crashes"`
	// Cancelled is the number of requests that ended before their answer was
	// complete.
	Cancelled int64 `json:"cancelled"`
	// CachedWords is the number of prompt words that were in the prefix cache.
	CachedWords int64 `json:"cachedWords"`
}

// Engine is a fake model engine with the OpenAI chat completions API. An answer
// depends only on the request, see ExpectedAnswer. It is safe for concurrent use.
type Engine struct {
	opts EngineOptions

	mu     sync.Mutex
	faults EngineFaults
	stats  EngineStats
	queue  slotQueue
	cache  prefixCache
	// active holds the generations that wait for a slot or run.
	active map[*generation]struct{}
	// streams holds the generations that can be cancelled or resumed by ID.
	streams map[string]*generation
	// models and adapters map the loaded names to their versions.
	models      map[string]string
	adapters    map[string]string
	role        string
	fence       uint64
	downUntil   time.Time
	loadSamples []loadSample
}

// NewEngine returns an engine.
func NewEngine(opts EngineOptions) *Engine {
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	if opts.QueueLimit == 0 {
		opts.QueueLimit = defaultQueueLimit
	}
	e := &Engine{
		opts:     opts,
		stats:    EngineStats{RunsByID: make(map[string]int)},
		queue:    slotQueue{free: opts.Slots},
		cache:    newPrefixCache(opts.CacheBlocks),
		active:   make(map[*generation]struct{}),
		streams:  make(map[string]*generation),
		models:   make(map[string]string),
		adapters: make(map[string]string),
	}
	for _, model := range opts.Models {
		e.models[model] = ""
	}
	return e
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Faults returns the injected faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.RunsByID = make(map[string]int, len(e.stats.RunsByID))
	for id, count := range e.stats.RunsByID {
		stats.RunsByID[id] = count
	}
	return stats
}

// Crash simulates a crash: it cancels all requests, empties the prefix cache and
// closes every connection for EngineOptions.CrashTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.downUntil = time.Now().Add(e.opts.CrashTime)
	for gen := range e.active {
		gen.cancel()
	}
	e.cache = newPrefixCache(e.opts.CacheBlocks)
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Down || time.Now().Before(e.downUntil)
}

func (e *Engine) modelNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.models))
	for name := range e.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.opts.Models) == 0 {
		return true
	}
	_, isModel := e.models[model]
	_, isAdapter := e.adapters[model]
	return isModel || isAdapter
}

// generation is one chat completion request in the engine.
type generation struct {
	id     string
	format formatter
	buffer *answer.Buffer
	cancel context.CancelFunc
	// incomplete is set if the answer ended early. incomplete and readers are
	// guarded by the engine's mutex.
	incomplete bool
	readers    int
}

// generate runs one request: it waits for a slot and for the prefill time, and
// writes the answer word by word.
func (e *Engine) generate(ctx context.Context, gen *generation, entry *queueEntry) {
	defer gen.buffer.Close()
	defer gen.cancel()
	defer e.removeActive(gen)
	if !e.awaitSlot(ctx, entry) {
		e.markIncomplete(gen)
		return
	}
	defer e.releaseSlot()
	e.recordRun(gen)
	if !sleep(ctx, e.prefill(gen)) {
		e.markIncomplete(gen)
		return
	}
	gen.buffer.Start(http.StatusOK, gen.format.contentType())
	crashes := e.opts.CrashMark != "" && strings.Contains(gen.format.req.Prompt(), e.opts.CrashMark)
	for i := range gen.format.answer.Words {
		if crashes && i >= e.opts.CrashTokens {
			e.Crash()
		}
		if !e.generateToken(ctx) {
			e.markIncomplete(gen)
			return
		}
		_, _ = gen.buffer.Write(gen.format.word(i))
	}
	_, _ = gen.buffer.Write(gen.format.end())
}

func (e *Engine) recordRun(gen *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs++
	if gen.id != "" {
		e.stats.RunsByID[gen.id]++
	}
}

func (e *Engine) removeActive(gen *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, gen)
}

// markIncomplete records that the answer ended early.
func (e *Engine) markIncomplete(gen *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gen.incomplete = true
	e.stats.Cancelled++
}

// prefill adds the prompt to the prefix cache and returns the prefill time of the
// words that were not cached.
func (e *Engine) prefill(gen *generation) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	words := strings.Fields(gen.format.req.Prompt())
	cached := e.cache.insert(time.Now(), gen.format.req.Model, words)
	e.stats.CachedWords += int64(cached)
	return time.Duration(len(words)-cached) * e.opts.PrefillTime
}

// stallPollInterval is how often a stalled engine checks whether it may go on.
const stallPollInterval = 10 * time.Millisecond

// generateToken waits for the time of one token. It returns false if ctx ended.
func (e *Engine) generateToken(ctx context.Context) bool {
	faults := e.Faults()
	for faults.Stalled {
		if !sleep(ctx, stallPollInterval) {
			return false
		}
		faults = e.Faults()
	}
	wait := e.opts.TokenTime
	if faults.Slowdown > 0 {
		wait = time.Duration(float64(wait) * faults.Slowdown)
	}
	if wait > 0 && !sleep(ctx, wait) || ctx.Err() != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Tokens++
	return true
}
