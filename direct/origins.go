package direct

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/streamorigin"
)

const (
	// originSlack is how long the origin of a stream is kept beyond its caller's timeout.
	originSlack = 30 * time.Second

	// originRetryAfter is the retry-after delay of a caller whose stream's origin may be known
	// once other routers respond again: a router is back after a crash within about as long.
	originRetryAfter = time.Second
)

// streamOrigins knows at which version of a service each stream began. While a service has
// several versions, other routers keep the origins of this router's streams too.
//
// It answers the load of streams that break off together, at a router, an endpoint or on
// their way, while a release is under way.
type streamOrigins struct {
	teller *originTeller

	mu       sync.Mutex
	book     *streamorigin.Book
	versions *streamorigin.Versions
	history  versionHistory
	// savedChange is the change of the versions in the stored router record.
	savedChange uint64

	kept               tally.Gauge
	refusals, unproven tally.Counter
	// resumptions are counted by how the origin was found.
	resumptions map[originSource]tally.Counter
}

// originSource is how the origin of a stream was found.
type originSource string

const (
	// originSole: the service has had one version only.
	originSole originSource = "sole_version"
	// originKept: this router began the stream or was told of it.
	originKept originSource = "kept"
	// originAsked: another router told it when asked.
	originAsked originSource = "asked"
)

func newStreamOrigins(teller *originTeller, scope tally.Scope) *streamOrigins {
	s := &streamOrigins{
		teller: teller, book: streamorigin.NewBook(), versions: streamorigin.NewVersions(), history: newVersionHistory(), kept: scope.Gauge("stream_origins_kept"),
		refusals: scope.Counter("streams_of_unknown_origin"), unproven: scope.Counter("streams_at_unproven_versions"),
		resumptions: make(map[originSource]tally.Counter),
	}
	for _, source := range []originSource{originSole, originKept, originAsked} {
		s.resumptions[source] = scope.Tagged(map[string]string{"origin": string(source)}).Counter("streams_taken_up")
	}
	return s
}

// setEndpoints records the versions of the listed endpoints. When a service gets a second
// version, holders are told of all its streams that this router knows.
func (s *streamOrigins) setEndpoints(now time.Time, list []routing.PromptEndpoint) {
	listed := make(map[streamorigin.Origin]bool)
	for _, e := range list {
		listed[streamorigin.Origin{Service: e.Service, Version: e.Version}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.versions.SetListed(now, listed) {
		s.tellOfService(now, service)
	}
}

// heardVersion records that another router lists a version, or listed it a time ago. The
// caller holds s.mu.
func (s *streamOrigins) heardVersion(now time.Time, origin streamorigin.Origin, ago time.Duration) {
	if s.versions.Heard(now, origin, ago) {
		s.tellOfService(now, origin.Service)
	}
}

// tellOfService tells holders of the streams of a service that none was told of, if it has
// several versions. The caller holds s.mu.
func (s *streamOrigins) tellOfService(now time.Time, service string) {
	if s.versions.Several(now, service) {
		for _, stream := range s.book.TakeUntold(now, service) {
			s.teller.tell(stream)
		}
	}
}

// several reports whether a service has had several versions lately.
func (s *streamOrigins) several(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Several(now, service)
}

// began records a stream that began at this router.
func (s *streamOrigins) began(now time.Time, stream streamorigin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Began(now, stream)
	if !s.versions.Several(now, stream.Origin.Service) {
		return
	}
	if untold, ok := s.book.TakeUntoldStream(now, stream.Key); ok {
		s.teller.tell(untold)
	}
}

// ended records that a stream that began at this router is complete.
func (s *streamOrigins) ended(key streamorigin.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Ended(time.Now(), key)
}

// learned records the origin of a stream that began at another router, and its version.
func (s *streamOrigins) learned(now time.Time, stream streamorigin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Learned(now, stream)
	s.heardVersion(now, stream.Origin, 0)
}

// find returns the origin of a stream that this router keeps.
func (s *streamOrigins) find(now time.Time, key streamorigin.Key) (streamorigin.Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Find(now, key)
}

// count returns the number of streams whose origin is kept.
func (s *streamOrigins) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Len()
}

// sole returns the only version that a service can have had while a stream lasts.
func (s *streamOrigins) sole(now time.Time, service string) (streamorigin.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, ok := s.versions.Sole(now, service)
	return streamorigin.Origin{Service: service, Version: version}, ok && s.history.complete
}

// expire drops what is no longer needed.
func (s *streamOrigins) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expire(now)
	s.versions.Expire(now)
	s.kept.Update(float64(s.book.Len()))
}

// bindOrigin finds the version that began the stream which the caller takes up, and binds the
// request to it. A router that can't know it refuses at once: its error is a *refusal.Error.
func (x *exchange) bindOrigin(ctx context.Context) error {
	if !x.resumesStream() {
		return nil
	}
	r, started := x.router, time.Now()
	origin, source, failed := x.findOrigin(ctx)
	allowed := slices.ContainsFunc(x.route.Targets, func(t Target) bool { return t.Service == origin.Service })
	r.logger.Info("stream taken up", "request", logged(x.meta.ID), "resumes", logged(x.meta.Resumes), "after", logged(x.meta.LastEventID),
		"origin", string(source), "service", origin.Service, "version", origin.Version, "allowed", allowed,
		"holders_failed", failed, "elapsed_ms", time.Since(started).Milliseconds())
	switch {
	case source == "":
		r.streams.refusals.Inc(1)
		err := refusal.NotRun(refusal.CauseStreamOriginUnknown, "the version that began the stream is not known")
		if failed > 0 || !r.streams.historyComplete() {
			return err.WithRetryAfter(originRetryAfter)
		}
		return err
	case !allowed:
		r.streams.refusals.Inc(1)
		return refusal.NotRun(refusal.CauseStreamOriginUnknown, "the route no longer has the service that began the stream")
	}
	r.streams.resumptions[source].Inc(1)
	x.service, x.origin, x.bound, x.proven = origin.Service, origin, true, true
	return nil
}

// findOrigin returns the origin of the caller's stream and how it was found, or an empty source
// and the number of holders that didn't respond.
func (x *exchange) findOrigin(ctx context.Context) (origin streamorigin.Origin, source originSource, failed int) {
	s, now, key := x.router.streams, time.Now(), streamorigin.KeyOf(x.workspace, x.meta.Resumes)
	if stream, ok := s.find(now, key); ok && x.meta.Resumes != "" {
		return stream.Origin, originKept, 0
	}
	if !s.several(now, x.service) {
		s.awaitHistory(ctx)
		now = time.Now()
	}
	if origin, ok := s.sole(now, x.service); ok {
		return origin, originSole, 0
	}
	if x.meta.Resumes == "" {
		return origin, "", 0
	}
	stream, found, failed := s.teller.ask(ctx, key)
	if !found {
		return origin, "", failed
	}
	s.learned(now, stream)
	return stream.Origin, originAsked, failed
}

// versionsToAvoid returns the versions at which a stream that callers may take up shouldn't begin:
// those that aren't recorded yet.
func (x *exchange) versionsToAvoid() []string {
	if x.bound || !x.route.Resumable {
		return nil
	}
	s := x.router.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Unrecorded(time.Now(), x.service)
}

// beginStream binds the request to the version of the endpoint that sends the caller the first
// event.
func (x *exchange) beginStream(a *attempt) {
	if x.bound {
		return
	}
	x.bound, x.origin = true, streamorigin.Origin{Service: x.service, Version: a.choice.Endpoint.Version}
	if !x.route.Resumable || x.meta.ID == "" {
		return
	}
	r := x.router
	stream := streamorigin.Stream{Key: streamorigin.KeyOf(x.workspace, x.meta.ID), Origin: x.origin, Keep: x.originKeep()}
	if r.provenVersion(time.Now(), a.choice.Endpoint) {
		x.proven = true
		r.streams.began(time.Now(), stream)
		return
	}
	r.streams.unproven.Inc(1)
	r.proveVersion(a.choice.Endpoint, func(proven bool) {
		if proven {
			r.streams.began(time.Now(), stream)
		}
	})
}

// endStream records that the caller was sent the whole stream.
func (x *exchange) endStream() { x.router.streams.ended(streamorigin.KeyOf(x.workspace, x.meta.ID)) }

// mayResume reports whether a stream that has begun may go on at another endpoint: the version
// that began it and the number of its last event are certain.
func (x *exchange) mayResume() bool {
	if x.unnumbered {
		return false
	}
	if !x.bound || x.proven {
		return true
	}
	_, known := x.router.streams.find(time.Now(), streamorigin.KeyOf(x.workspace, x.meta.ID))
	return known
}

// originKeep returns how long a caller may still take up a stream that begins now.
func (x *exchange) originKeep() time.Duration {
	return min(cmp.Or(max(x.meta.Timeout, x.route.Timeout), defaultTimeout)+originSlack, streamorigin.Memory)
}
