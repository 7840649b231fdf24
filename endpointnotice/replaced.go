package endpointnotice

import "time"

const (
	// replacedBar is how long an address that answered as another endpoint bars the listed
	// one. It ends because the answer may be wrong, or the address given back; each period
	// costs a router one attempt.
	replacedBar = time.Minute

	// hearsayBar is how long the word of another router does so.
	hearsayBar = 20 * time.Second
)

// replacement is what is known of the replacement of an endpoint's process by another at its
// address.
type replacement struct {
	// until is when the bar by this router's own knowledge ends, hearsayUntil when that by
	// another router's word does; zero for none.
	until, hearsayUntil time.Time
	// written is the version of the endpoint's entry at that time; 0 if unknown.
	written uint64
}

// RecordReplaced records that the address of an endpoint answered as another one, while the
// list had the given version of its entry; 0 if unknown. It bars the endpoint for replacedBar
// or until the entry is written again. It reports whether the endpoint wasn't barred for
// this by the router's own knowledge, and whether no other router had told it.
func (s *Notices) RecordReplaced(now time.Time, e Endpoint, written uint64) (isNew, untold bool) {
	n := s.seen(now, e)
	isNew, untold = !now.Before(n.replaced.until), n.replaced.hearsayUntil.IsZero()
	n.replaced.until, n.replaced.written = now.Add(replacedBar), written
	return isNew, isNew && untold
}

// RecordHearsay records that another router saw an endpoint replaced. It reports whether
// this was not known. What is known is not extended.
func (s *Notices) RecordHearsay(now time.Time, e Endpoint, written uint64) bool {
	if s.Bars(now, e) || s.BarsByHearsay(now, e) {
		return false
	}
	n := s.seen(now, e)
	n.replaced.hearsayUntil, n.replaced.written = now.Add(hearsayBar), written
	return true
}

// RecordWritten records the version of an endpoint's entry in the list. It reports whether
// the entry was written again since the endpoint was found replaced, which ends the bar.
func (s *Notices) RecordWritten(now time.Time, e Endpoint, written uint64) bool {
	n := s.byEndpoint[e]
	if n == nil || written == 0 || n.replaced == (replacement{}) {
		return false
	}
	if n.replaced.written == 0 {
		n.replaced.written = written
	}
	if written <= n.replaced.written {
		return false
	}
	barred := now.Before(n.replaced.until) || now.Before(n.replaced.hearsayUntil)
	n.replaced = replacement{}
	return barred
}

// ForgetVersions records that the versions of entries start anew, as the list was restored
// from a copy. The next version of an entry is taken for the known one.
func (s *Notices) ForgetVersions() {
	for _, n := range s.byEndpoint {
		n.replaced.written = 0
	}
}

// BarsByHearsay reports whether another router's word bars an endpoint now. The caller
// decides whether other endpoints are left.
func (s *Notices) BarsByHearsay(now time.Time, e Endpoint) bool {
	n := s.byEndpoint[e]
	return n != nil && now.Before(n.replaced.hearsayUntil)
}
