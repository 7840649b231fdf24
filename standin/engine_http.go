package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jackdawswitch/agent/answer"
)

// The paths of the engine, in addition to PathFaults.
const (
	PathChat        = "/v1/chat/completions"
	PathModels      = "/v1/models"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrders      = "/v1/orders"
	PathCancel      = "/v1/cancel"
	// PathStreams is followed by the ID of a stream; the query parameter offset
	// is the byte at which to resume it.
	PathStreams = "/v1/streams/"
	PathStats   = "/v1/stats"
)

// HeaderRequestID is the header with the ID of a request, by which the request
// can be cancelled and resumed.
const HeaderRequestID = "X-Request-Id"

// writeChunkBytes limits the size of one write to a response.
const writeChunkBytes = 32 << 10

// ServeHTTP serves the engine's API and its fault settings.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFaults {
		e.serveFaults(w, r)
		return
	}
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case PathChat:
		e.serveChat(w, r)
	case PathModels:
		e.serveModels(w)
	case PathLoad:
		writeJSON(w, http.StatusOK, e.Load())
	case PathCacheEvents:
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		writeJSON(w, http.StatusOK, e.CacheEvents(after))
	case PathOrders:
		e.serveOrder(w, r)
	case PathCancel:
		e.serveCancel(w, r)
	case PathStats:
		writeJSON(w, http.StatusOK, e.Stats())
	default:
		e.serveStream(w, r)
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults EngineFaults
		if !readJSON(w, r, &faults) {
			return
		}
		e.SetFaults(faults)
	}
	writeJSON(w, http.StatusOK, e.Faults())
}

func (e *Engine) serveModels(w http.ResponseWriter) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range e.modelNames() {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeAPIError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, apiError{Error: apiErrorBody{Message: message, Type: kind}})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var req ChatRequest
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil || len(req.Messages) == 0 {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", "malformed request")
		return
	}
	if !e.hasModel(req.Model) {
		writeAPIError(w, http.StatusNotFound, "invalid_request_error", "no such model: "+req.Model)
		return
	}
	entry := e.enqueue(req.Priority)
	if e.Faults().Refuse || entry == nil {
		if entry != nil {
			go e.cancelEntry(entry)
		}
		writeAPIError(w, http.StatusTooManyRequests, "rate_limit_error", "engine is full")
		return
	}
	gen, ctx := e.newGeneration(r, req)
	go e.generate(ctx, gen, entry)
	e.streamAnswer(w, r, gen, 0)
}

// cancelEntry removes a request from the queue, or releases its slot if it has
// one.
func (e *Engine) cancelEntry(entry *queueEntry) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if e.awaitSlot(ctx, entry) {
		e.releaseSlot()
	}
}

// newGeneration registers a generation and returns it with its context. The
// context ends with the connection, unless the generation is resumable: it has an
// ID, and EngineOptions.ResumeTime is set.
func (e *Engine) newGeneration(r *http.Request, req ChatRequest) (*generation, context.Context) {
	base := r.Context()
	id := r.Header.Get(HeaderRequestID)
	resumable := e.opts.ResumeTime > 0 && id != ""
	if resumable {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithCancel(base)
	gen := &generation{id: id, format: newFormatter(req), buffer: answer.New(), cancel: cancel}
	e.mu.Lock()
	e.active[gen] = struct{}{}
	if id != "" {
		e.streams[id] = gen
	}
	e.mu.Unlock()
	if !resumable {
		context.AfterFunc(r.Context(), func() { e.removeStream(gen) })
	}
	return gen, ctx
}

func (e *Engine) removeStream(gen *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[gen.id] == gen {
		delete(e.streams, gen.id)
	}
}

// streamAnswer writes the answer of a generation, from offset on, as it is
// generated. If the generation ended early, it closes the connection.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, gen *generation, offset int64) {
	defer e.addReader(gen)()
	summary, err := gen.buffer.WaitStart(r.Context())
	if err != nil || !summary.Started {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", summary.ContentType)
	w.WriteHeader(summary.Status)
	flusher := http.NewResponseController(w)
	for {
		data, err := gen.buffer.Next(r.Context(), offset, writeChunkBytes)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if len(data) == 0 {
			break
		}
		if _, err := w.Write(data); err != nil {
			return
		}
		_ = flusher.Flush()
		offset += int64(len(data))
	}
	if e.isIncomplete(gen) {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) isIncomplete(gen *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return gen.incomplete
}

// addReader adds a reader to a generation; the returned function removes it. After
// each removal from a resumable generation, the generation is cancelled if it has
// no readers when ResumeTime has passed.
func (e *Engine) addReader(gen *generation) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	gen.readers++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		gen.readers--
		if e.opts.ResumeTime > 0 && gen.id != "" {
			time.AfterFunc(e.opts.ResumeTime, func() { e.expireIfUnread(gen) })
		}
	}
}

// expireIfUnread cancels a generation that has no readers and removes its stream.
func (e *Engine) expireIfUnread(gen *generation) {
	e.mu.Lock()
	unread := gen.readers == 0
	e.mu.Unlock()
	if unread {
		gen.cancel()
		e.removeStream(gen)
	}
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id, ok := strings.CutPrefix(r.URL.Path, PathStreams)
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	e.mu.Lock()
	gen := e.streams[id]
	e.mu.Unlock()
	if !ok || err != nil || gen == nil || offset > gen.buffer.Summary().Length {
		writeAPIError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	e.streamAnswer(w, r, gen, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req struct {
		ID string `json:"id"`
	}
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	gen := e.streams[req.ID]
	e.mu.Unlock()
	if gen != nil {
		gen.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Order is a placement order to the engine.
type Order struct {
	// Fence is the fencing number of the lease under which the order was given.
	Fence uint64 `json:"fence"`
	// Kind is load_model, unload_model, load_adapter, unload_adapter or
	// set_role.
	Kind string `json:"kind"`
	// Name is the model or adapter, or the role for set_role.
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	if !e.acceptFence(order.Fence) {
		writeAPIError(w, http.StatusConflict, "fenced", "the order's fencing number is old")
		return
	}
	if strings.HasPrefix(order.Kind, "load_") && !sleep(r.Context(), e.opts.WeightTime) {
		panic(http.ErrAbortHandler)
	}
	if !e.applyOrder(order) {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", "unknown order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// acceptFence reports whether the fencing number is accepted, and records the
// highest one seen.
func (e *Engine) acceptFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.opts.IgnoreFencing && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// applyOrder carries out an order. It returns false if the kind is unknown.
func (e *Engine) applyOrder(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch order.Kind {
	case "load_model":
		e.models[order.Name] = order.Version
	case "unload_model":
		delete(e.models, order.Name)
	case "load_adapter":
		e.adapters[order.Name] = order.Version
	case "unload_adapter":
		delete(e.adapters, order.Name)
	case "set_role":
		e.role = order.Name
	default:
		return false
	}
	return true
}

// Role returns the engine's role and the highest fencing number it has accepted.
func (e *Engine) Role() (role string, fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role, e.fence
}
