package standin

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"jackdawswitch/storage"
	"jackdawswitch/storage/wire"
)

// ObjectStore is an in-memory object store. It implements
// storage.ObjectStore.
type ObjectStore struct {
	faultInjector

	mu      sync.Mutex
	objects map[string][]byte
}

var _ storage.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: make(map[string][]byte)}
}

// PutIfAbsent implements storage.ObjectStore.
func (s *ObjectStore) PutIfAbsent(ctx context.Context, key string, data []byte) error {
	const op = "object.put"
	if err := s.beforeCall(ctx, op); err != nil {
		return err
	}
	if s.shouldLoseWrite() {
		return lostResponseError(op, key)
	}
	err := s.put(op, key, data)
	if s.shouldLoseResponse() {
		return lostResponseError(op, key)
	}
	return err
}

func (s *ObjectStore) put(op, key string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; ok {
		return &storage.Error{Op: op, Kind: storage.KindConflict, Outcome: storage.OutcomeAborted, Key: key}
	}
	s.objects[key] = slices.Clone(data)
	return nil
}

// Get implements storage.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	if err := s.beforeCall(ctx, "object.get"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[key]
	if !ok {
		return nil, &storage.Error{
			Op: "object.get", Kind: storage.KindNotFound, Outcome: storage.OutcomeAborted, Key: key,
		}
	}
	return slices.Clone(data), nil
}

// List implements storage.ObjectStore.
func (s *ObjectStore) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := s.beforeCall(ctx, "object.list"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	return keys, nil
}

// ServeHTTP serves the object store's HTTP protocol and its fault settings.
func (s *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFaults {
		s.serveFaults(w, r)
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, wire.PathObjects)
	switch {
	case !ok:
		http.NotFound(w, r)
	case r.Method == http.MethodPut:
		s.servePut(w, r, key)
	case key == "":
		query := r.URL.Query()
		keys, err := s.List(r.Context(), query.Get(wire.ParamPrefix), query.Get(wire.ParamAfter), listLimit(r))
		if err != nil {
			writeErrorResponse(w, err)
			return
		}
		writeJSON(w, http.StatusOK, wire.Keys{Keys: keys})
	default:
		s.serveObject(w, r, key)
	}
}

func (s *ObjectStore) servePut(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || key == "" || r.Header.Get("If-None-Match") != "*" {
		writeJSON(w, http.StatusBadRequest, wire.Failure{Kind: storage.KindInvalid, NotDone: true, Key: key})
		return
	}
	if err := s.PutIfAbsent(r.Context(), key, data); err != nil {
		writeErrorResponse(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *ObjectStore) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	data, err := s.Get(r.Context(), key)
	if err != nil {
		writeErrorResponse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}
