package endpointlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawswitch/fleetshare"
)

var (
	start        = time.Unix(1000, 0)
	testEndpoint = Endpoint{ID: "e", Service: "s", Incarnation: 5}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func names(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, fmt.Sprintf("router-%d", i))
	}
	return out
}

func newTestLimiter(i int, routers []string) *Limiter {
	l := NewLimiter(fmt.Sprintf("router-%d", i))
	l.SetFleet(start, routers)
	return l
}

// fleet is a fleet of routers that send to one endpoint, as often as their limiters allow.
type fleet struct {
	routers int
	rate    float64
	// view returns the routers that one router knows.
	view func(i int) []string
	// tellDelay is how long others take to learn what a router heard; negative if they don't.
	tellDelay time.Duration
	// changedAt is when all but the first router learn that it left; 0 for never.
	changedAt time.Duration
	// endsAt is when the endpoint names no limit any more; 0 for never.
	endsAt time.Duration
	// idle is the number of routers that have no requests.
	idle int
}

type told struct {
	from  int
	heard time.Duration
	word  Word
}

// play returns the sorted times of arrival at the endpoint, of requests by routers that knew of
// the limit, and the time at which the last router knew of its end.
func (f fleet) play(lasts time.Duration, seed uint64) (arrivals []time.Duration, lastEnded time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	limiters := make([]*Limiter, f.routers)
	for i := range limiters {
		limiters[i] = newTestLimiter(i, f.view(i))
		limiters[i].Heard(start, testEndpoint, Word{Rate: f.rate, At: start, SentAt: start.Add(-time.Second)})
	}
	type response struct {
		router   int
		at, sent time.Duration
	}
	var responses []response
	var words []told
	const step = 5 * time.Millisecond
	for now := time.Duration(0); now < lasts; now += step {
		for len(responses) > 0 && responses[0].at <= now {
			r := responses[0]
			responses = responses[1:]
			w := Word{Rate: f.rate, At: at(now), SentAt: at(r.sent)}
			if f.endsAt > 0 && r.at >= f.endsAt {
				w = Word{Ended: true, At: at(now), SentAt: at(r.sent)}
			}
			change, tell := limiters[r.router].Heard(at(now), testEndpoint, w)
			if change == LimitEnded {
				lastEnded = now
			}
			if tell && f.tellDelay >= 0 {
				words = append(words, told{from: r.router, heard: now, word: w})
			}
		}
		for len(words) > 0 && words[0].heard+f.tellDelay <= now {
			for i, l := range limiters {
				if i != words[0].from && l.Told(at(now), testEndpoint, words[0].word) == LimitEnded {
					lastEnded = now
				}
			}
			words = words[1:]
		}
		if f.changedAt > 0 && now == f.changedAt {
			for _, l := range limiters[1:] {
				l.SetFleet(at(now), names(1, f.routers))
			}
		}
		for i, l := range limiters[f.idle:] {
			if random.Float64() > 0.5 || l.Bars(at(now), testEndpoint) {
				continue
			}
			l.Sent(at(now), testEndpoint.ID)
			arrived := now + time.Duration(random.Int64N(int64(fleetshare.ArrivalSpread)))
			arrivals = append(arrivals, arrived)
			r := response{router: i + f.idle, at: arrived + 50*time.Millisecond, sent: now}
			place, _ := slices.BinarySearchFunc(responses, r, func(a, b response) int { return int(a.at - b.at) })
			responses = slices.Insert(responses, place, r)
		}
	}
	slices.Sort(arrivals)
	return arrivals, lastEnded
}

// most returns the highest number of arrivals in any sliding window of the bound.
func most(arrivals []time.Duration) int {
	highest, first := 0, 0
	for i, t := range arrivals {
		for t-arrivals[first] > boundWindow {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// The limit is used as well, whichever routers know each other.
func TestProofALimitHoldsForTheSumOfAllRouters(t *testing.T) {
	const lasts = 40 * time.Second
	for _, n := range []int{1, 2, 4, 25, 103} {
		all := func(int) []string { return names(0, n) }
		for _, rate := range []float64{0.5, 1, 1.7, 2, 10, 40} {
			for what, f := range map[string]fleet{
				"all know all":           {view: all, tellDelay: 300 * time.Millisecond},
				"nobody is told":         {view: all, tellDelay: -1},
				"one router leaves":      {view: all, tellDelay: 300 * time.Millisecond, changedAt: 20 * time.Second},
				"half know no fleet":     {view: func(i int) []string { return names(0, n)[:n*((i+1)%2)] }, tellDelay: 300 * time.Millisecond},
				"some routers are added": {view: func(i int) []string { return names(0, max(1, n-(i%2)*n/4)) }, tellDelay: 300 * time.Millisecond},
			} {
				f.routers, f.rate = n, rate
				for seed := range uint64(2) {
					arrivals, _ := f.play(lasts, seed)
					allowed := overrun*rate*boundWindow.Seconds() + slack
					if got := most(arrivals); float64(got) > allowed {
						t.Errorf("%d routers, limit %v, %s: %d requests in %s, allowed %.0f", n, rate, what, got, boundWindow, allowed)
					}
					mean := float64(len(arrivals)) / lasts.Seconds()
					if what == "all know all" && (mean < rate/2 || mean > rate*1.05+0.05) {
						t.Errorf("%d routers, limit %v: %.2f requests a second, want half of the limit to the limit", n, rate, mean)
					}
				}
			}
		}
	}
}

// Such routers send the endpoint nothing and hear nothing from it.
func TestProofTheEndOfALimitReachesRoutersWithoutPlaces(t *testing.T) {
	for _, n := range []int{4, 103} {
		f := fleet{routers: n, rate: 1.5, view: func(int) []string { return names(0, n) }, tellDelay: 300 * time.Millisecond, endsAt: 10 * time.Second}
		if _, ended := f.play(30*time.Second, 1); ended < f.endsAt || ended > f.endsAt+6*time.Second {
			t.Errorf("%d routers: the last one learned of the end at %s, the limit ended at %s", n, ended, f.endsAt)
		}
	}
}

// The routers that own places have no requests.
func TestALimitThatNobodyHearsIsSharedByAll(t *testing.T) {
	const n, lasts = 25, 60 * time.Second
	l := newTestLimiter(0, names(0, n))
	l.Heard(start, testEndpoint, Word{Rate: 1, At: start})
	owners := make(map[int]bool)
	for i := range n {
		owner := newTestLimiter(i, names(0, n))
		owner.Heard(start, testEndpoint, Word{Rate: 1, At: start})
		owners[i] = owner.Views(start)[0].Places > 0
	}
	sent := 0
	for i := range n {
		if owners[i] {
			continue
		}
		other := newTestLimiter(i, names(0, n))
		other.Heard(start, testEndpoint, Word{Rate: 1, At: start})
		for now := time.Duration(0); now < lasts; now += 10 * time.Millisecond {
			if !other.Bars(at(now), testEndpoint) {
				other.Sent(at(now), testEndpoint.ID)
				if sent++; now < unheardTime {
					t.Fatal("a router without a place sends while others may hear")
				}
			}
		}
	}
	if bound := 1.5 * lasts.Seconds(); sent == 0 || float64(sent) > bound {
		t.Fatalf("%d requests in %s, want some and at most %.0f", sent, lasts, bound)
	}
}

func TestOnlyALaterResponseEndsALimit(t *testing.T) {
	l := newTestLimiter(0, names(0, 1))
	sent := start.Add(-time.Second)
	if change, tell := l.Heard(start, testEndpoint, Word{Rate: 2, At: start, SentAt: sent}); change != BecameLimited || !tell {
		t.Fatalf("change %d, tell %t", change, tell)
	}
	if change, _ := l.Heard(at(time.Second), testEndpoint, Word{Ended: true, At: at(time.Second), SentAt: sent}); change != Unchanged {
		t.Fatal("a response to a request from before the limit ends it")
	}
	if change, tell := l.Heard(at(time.Second), testEndpoint, Word{Ended: true, At: at(time.Second), SentAt: at(time.Millisecond)}); change != LimitEnded || !tell {
		t.Fatal("a later response doesn't end the limit")
	}
	if change := l.Told(at(time.Second), testEndpoint, Word{Rate: 2, At: at(500 * time.Millisecond)}); change != Unchanged {
		t.Fatal("an older word of another router begins the limit again")
	}
	if change, _ := l.Heard(at(1100*time.Millisecond), testEndpoint, Word{Rate: 2, At: at(1100 * time.Millisecond)}); change != BecameLimited {
		t.Fatal("the limit doesn't begin again")
	}
}

func TestALimitIsThatOfAProcess(t *testing.T) {
	l := newTestLimiter(0, names(1, 2))
	l.Heard(start, testEndpoint, Word{Rate: 2, At: start})
	next := testEndpoint
	next.Incarnation++
	if !l.Bars(start, testEndpoint) || l.Bars(start, next) {
		t.Fatal("the limit of an earlier process holds for the next one")
	}
	l.Heard(at(time.Second), next, Word{Rate: 3, At: at(time.Second)})
	l.Heard(at(2*time.Second), testEndpoint, Word{Rate: 2, At: at(2 * time.Second)})
	if views := l.Views(at(2 * time.Second)); len(views) != 1 || views[0].Rate != 3 {
		t.Fatalf("a late response of the earlier process counts: %+v", views)
	}
}

func TestAnEndpointWhoseLimitEndedIsNotFlooded(t *testing.T) {
	const n = 25
	sent := 0
	for i := range n {
		l := newTestLimiter(i, names(0, n))
		l.Heard(start, testEndpoint, Word{Rate: 2, At: start})
		l.Heard(start, testEndpoint, Word{Ended: true, At: start, SentAt: at(time.Nanosecond)})
		for now := time.Duration(0); now < rampTime; now += time.Millisecond {
			if !l.Bars(at(now), testEndpoint) {
				l.Sent(at(now), testEndpoint.ID)
				sent++
			}
		}
		if l.Expire(at(rampTime)); l.Bars(at(rampTime), testEndpoint) || l.Len() != 0 {
			t.Fatal("the limit is kept to after its end")
		}
	}
	if most := 2 * (2 + 4 + 8 + 16) / 4 * 2; sent > most {
		t.Fatalf("%d requests in the first second, want at most %d", sent, most)
	}
}

func TestRefusedCallersAreGivenDifferentTimes(t *testing.T) {
	l := newTestLimiter(0, names(0, 4))
	for i := range 5 {
		l.Heard(start, Endpoint{ID: fmt.Sprint(i), Service: "s"}, Word{Rate: 2, At: start})
	}
	given := make(map[time.Duration]int)
	for range 30 {
		wait, ok := l.RetryAfter(start, "s")
		if !ok || wait < 0 || wait > 30*time.Second {
			t.Fatalf("wait %s, known %t", wait, ok)
		}
		given[wait]++
	}
	if len(given) < 10 {
		t.Errorf("30 callers were given %d times", len(given))
	}
	if _, ok := l.RetryAfter(start, "other"); ok {
		t.Error("a time for a service without limited endpoints")
	}
}

func TestMemoryOfLimitsIsBounded(t *testing.T) {
	l := newTestLimiter(0, names(0, 1))
	for i := range maxLimits + 10 {
		l.Heard(start, Endpoint{ID: fmt.Sprint(i), Service: fmt.Sprint(i % 3)}, Word{Rate: 2, At: start})
	}
	if l.Len() != maxLimits {
		t.Fatalf("%d limits are remembered", l.Len())
	}
	if l.Expire(at(forgetTime)); l.Len() != 0 || len(l.services) != 0 {
		t.Fatalf("%d limits in %d services are remembered for good", l.Len(), len(l.services))
	}
}

func TestALimitOfZeroLeavesSomeRequests(t *testing.T) {
	f := fleet{routers: 4, rate: 0, view: func(int) []string { return names(0, 4) }, tellDelay: 0}
	arrivals, _ := f.play(60*time.Second, 1)
	if len(arrivals) == 0 || most(arrivals) > slack {
		t.Fatalf("%d requests in a minute, at most %d in %s", len(arrivals), most(arrivals), boundWindow)
	}
}
