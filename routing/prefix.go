package routing

import (
	"slices"
	"time"
)

// prefixState is the state of one prefix in an endpoint's cache.
type prefixState struct {
	// uncertain is set if events were lost since the prefix was last seen, so
	// that its eviction may have been missed.
	uncertain bool
}

// ApplyPrefixEvents applies cache events that arrived outside a report.
func (p *Picker) ApplyPrefixEvents(id string, events []PrefixEvent) {
	if e := p.endpoints[id]; e != nil {
		p.services[e.report.Service].applyPrefixEvents(e, events)
	}
}

// applyPrefixEvents applies cache events. Events may arrive late or be lost: old
// ones are ignored, and a gap makes all known prefixes of the endpoint uncertain.
func (s *service) applyPrefixEvents(e *endpoint, events []PrefixEvent) {
	for _, event := range events {
		if event.Sequence <= e.prefixSequence {
			continue
		}
		if event.Sequence != e.prefixSequence+1 && e.prefixSequence != 0 {
			e.markPrefixesUncertain()
		}
		e.prefixSequence = event.Sequence
		if event.Evicted {
			s.removePrefix(e, event.Hash)
			continue
		}
		s.addPrefix(e, event.Hash)
	}
}

func (e *endpoint) markPrefixesUncertain() {
	for _, known := range e.prefixes {
		known.uncertain = true
	}
}

// addPrefix records that a prefix is, or is about to be, in an endpoint's cache. At
// maxPrefixesPerEndpoint it removes the oldest one.
func (s *service) addPrefix(e *endpoint, hash uint64) {
	if known := e.prefixes[hash]; known != nil {
		known.uncertain = false
		return
	}
	if len(e.prefixOrder) >= maxPrefixesPerEndpoint {
		oldest := e.prefixOrder[0]
		s.removePrefix(e, oldest)
	}
	e.prefixes[hash] = &prefixState{}
	e.prefixOrder = append(e.prefixOrder, hash)
	s.prefixHolders[hash] = append(s.prefixHolders[hash], e)
}

func (s *service) removePrefix(e *endpoint, hash uint64) {
	if e.prefixes[hash] == nil {
		return
	}
	delete(e.prefixes, hash)
	at := slices.Index(e.prefixOrder, hash)
	e.prefixOrder = slices.Delete(e.prefixOrder, at, at+1)
	s.removeHolder(hash, e)
}

func (s *service) removeHolder(hash uint64, e *endpoint) {
	holders := s.prefixHolders[hash]
	holders = slices.DeleteFunc(holders, func(other *endpoint) bool { return other == e })
	if len(holders) == 0 {
		delete(s.prefixHolders, hash)
		return
	}
	s.prefixHolders[hash] = holders
}

// prefixSaving returns the estimated reduction of the time to first token if the
// prefix is cached at the endpoint, and 0 otherwise.
func (e *endpoint) prefixSaving(hash uint64) time.Duration {
	known := e.prefixes[hash]
	if known == nil {
		return 0
	}
	share := cachedPrefixSaving
	if known.uncertain {
		share = uncertainPrefixSaving
	}
	return time.Duration(share * float64(e.timeToFirstToken))
}
