// Package streamorigin keeps which version of a service's software began a stream, and which
// versions each service has had lately. What two versions write doesn't fit together, so a
// stream goes on at the version that began it, or not at all.
//
// It answers the load of streams that break off in great numbers while several versions of a
// service serve side by side: at a release, when endpoints crash and when routers die.
//
// A Book and Versions are pure: they read no clock and do no I/O. They are not safe for
// concurrent use.
package streamorigin

import (
	"container/list"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Memory is how long a version counts after it was last listed, and the longest time for
	// which an origin is kept: a stream that is taken up later than that after it began can't
	// go on.
	Memory = 10 * time.Minute

	// endedKeep is how long the origin of a stream is kept after its end was sent.
	endedKeep = 5 * time.Second

	// maxStreams bounds the origins of a Book, at 180 bytes each. A router of a fleet of
	// 100 has some 24,000: 100 streams a second of its own and three times as many of others, for
	// a minute each.
	maxStreams = 1 << 16
)

// Origin is the service and the version of its software that began a stream.
type Origin struct{ Service, Version string }

// Key identifies a stream by its workspace and the ID of the request that brought its first
// event.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(workspace, request string) Key {
	var h xxh3.Hasher
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(request)
	return h.Sum128().Bytes()
}

// Stream is a stream whose origin is known.
type Stream struct {
	Key    Key
	Origin Origin
	// Keep is how long the origin may still be asked for.
	Keep time.Duration
}

// entry is what a Book keeps of a stream.
type entry struct {
	key    Key
	origin Origin
	until  time.Time
	// ambiguous is set if two streams with the key began at different versions.
	ambiguous bool
	// untold is set while no other router was told of the stream, which began here.
	untold bool
}

// Book keeps the origins of streams.
type Book struct {
	entries map[Key]*list.Element
	// order holds the entries, the oldest first.
	order *list.List
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: make(map[Key]*list.Element), order: list.New()} }

// Len returns the number of origins.
func (b *Book) Len() int { return len(b.entries) }

// Began records a stream that began at this router, of which no other one knows.
func (b *Book) Began(now time.Time, s Stream) { b.put(now, s).untold = true }

// Learned records a stream that began at another router.
func (b *Book) Learned(now time.Time, s Stream) { b.put(now, s) }

func (b *Book) put(now time.Time, s Stream) *entry {
	until := now.Add(min(s.Keep, Memory))
	if known := b.entries[s.Key]; known != nil {
		e := known.Value.(*entry)
		e.ambiguous = e.ambiguous || e.origin != s.Origin
		if until.After(e.until) {
			e.until = until
		}
		return e
	}
	if len(b.entries) >= maxStreams {
		b.remove(b.order.Front())
	}
	e := &entry{key: s.Key, origin: s.Origin, until: until}
	b.entries[s.Key] = b.order.PushBack(e)
	return e
}

func (b *Book) remove(element *list.Element) {
	delete(b.entries, element.Value.(*entry).key)
	b.order.Remove(element)
}

// Find returns the origin of a stream and how long it is kept. It finds nothing if the origin
// isn't known for certain.
func (b *Book) Find(now time.Time, key Key) (Stream, bool) {
	known := b.entries[key]
	if known == nil {
		return Stream{}, false
	}
	e := known.Value.(*entry)
	if e.ambiguous || !now.Before(e.until) {
		return Stream{}, false
	}
	return Stream{Key: key, Origin: e.origin, Keep: e.until.Sub(now)}, true
}

// TakeUntold returns the streams of a service of which no other router was told. They count
// as told from then on.
func (b *Book) TakeUntold(now time.Time, service string) []Stream {
	var out []Stream
	for element := b.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if !e.untold || e.origin.Service != service {
			continue
		}
		e.untold = false
		if !e.ambiguous && now.Before(e.until) {
			out = append(out, Stream{Key: e.key, Origin: e.origin, Keep: e.until.Sub(now)})
		}
	}
	return out
}

// TakeUntoldStream returns a stream of which no other router was told. It counts as told from
// then on.
func (b *Book) TakeUntoldStream(now time.Time, key Key) (Stream, bool) {
	known := b.entries[key]
	if known == nil || !known.Value.(*entry).untold {
		return Stream{}, false
	}
	known.Value.(*entry).untold = false
	return b.Find(now, key)
}

// Ended records that a caller was sent the whole of a stream. It may lack the end, and comes back
// within endedKeep then.
func (b *Book) Ended(now time.Time, key Key) {
	if known := b.entries[key]; known != nil {
		e := known.Value.(*entry)
		if until := now.Add(endedKeep); until.Before(e.until) {
			e.until = until
		}
	}
}

// Expire drops the origins that are no longer kept.
func (b *Book) Expire(now time.Time) {
	for element := b.order.Front(); element != nil; {
		next := element.Next()
		if !now.Before(element.Value.(*entry).until) {
			b.remove(element)
		}
		element = next
	}
}
