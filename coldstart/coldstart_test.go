package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawswitch/fleetshare"
)

// window is the span in which a place at a cold endpoint serves one request.
const window = boundWindow + fleetshare.ArrivalSpread

const (
	coldTime = 3 * time.Second
	coldRate = 17
)

var (
	testBound    = Bound{Overrun: 1.5, Slack: 5}
	testServices = map[string]Service{"s": {ColdTime: coldTime, Rate: coldRate}}
	testEndpoint = Endpoint{ID: "e", Service: "s", Incarnation: 5}
	start        = time.Unix(1000, 0)
)

// newTestLimiter returns a Limiter that knows the services and the given routers.
func newTestLimiter(name string, routers ...string) *Limiter {
	l := NewLimiter(name, testBound)
	l.SetServices(start, testServices)
	l.SetFleet(start, routers)
	return l
}

// play lets routers send to one endpoint that stays cold, each with a Limiter of its own and
// the routers that it knows. Router i has requests at random times, rates[i] a second on the
// mean. It returns the sorted times at which the requests arrive at the endpoint.
func play(rates []float64, view func(i int) []string, cold time.Duration, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []time.Duration
	for i, rate := range rates {
		l := newTestLimiter(name(i), view(i)...)
		l.Registered(start, testEndpoint, cold)
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			now := start.Add(at)
			if at >= cold {
				break
			}
			if l.Bars(now, "e") {
				continue
			}
			l.Sent(now, "e")
			arrivals = append(arrivals, at+time.Duration(random.Int64N(int64(fleetshare.ArrivalSpread))))
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// maxInOneSecond returns the highest number of arrivals in any sliding second.
func maxInOneSecond(arrivals []time.Duration) int {
	highest, first := 0, 0
	for i, at := range arrivals {
		for at-arrivals[first] > time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

func name(i int) string { return fmt.Sprintf("router-%d", i) }

func names(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, name(i))
	}
	return out
}

// demand returns the requests a second of n routers: from 3 to 60, as the callers of some
// zones and VMs send more, and at least 60/n, with which each router can use its share.
func demand(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = max([]float64{3, 8, 60}[i%3], 60/float64(n))
	}
	return out
}

// TestProofColdRateHolds guards against more requests in a second than the declared bound,
// whichever routers know each other, and against a cold endpoint that is hardly used.
func TestProofColdRateHolds(t *testing.T) {
	const cold = 60 * time.Second
	limit := int(coldRate*testBound.Overrun + float64(testBound.Slack))
	for _, n := range []int{1, 2, 10, 25, 103} {
		views := map[string]func(i int) []string{
			"all know all": func(int) []string { return names(0, n) },
			"half of the routers know no fleet": func(i int) []string {
				if i%2 == 1 {
					return nil
				}
				return names(0, n)
			},
			"two halves that don't know each other": func(i int) []string {
				if i < n/2 {
					return names(0, n/2)
				}
				return names(n/2, n)
			},
			"routers were added that the others don't know": func(i int) []string {
				if i < n/2 {
					return names(0, n/2)
				}
				return names(0, n)
			},
		}
		for what, view := range views {
			for seed := range uint64(5) {
				arrivals := play(demand(n), view, cold, seed)
				if highest := maxInOneSecond(arrivals); highest > limit {
					t.Errorf("%d routers, %s, seed %d: %d requests in a second, want at most %d", n, what, seed, highest, limit)
				}
				rate := float64(len(arrivals)) / cold.Seconds()
				t.Logf("%d routers, %s, seed %d: %.1f requests a second, at most %d in one", n, what, seed, rate, maxInOneSecond(arrivals))
				if what == "all know all" && (rate < coldRate/2 || rate > coldRate) {
					t.Errorf("%d routers, seed %d: %.1f requests a second, want %d to %d", n, seed, rate, coldRate/2, coldRate)
				}
			}
		}
	}
}

func TestTheLatestWordWins(t *testing.T) {
	l := newTestLimiter("a", "a")
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	expect := func(what string, got, want Change) {
		t.Helper()
		if got != want {
			t.Errorf("%s: change %d, want %d", what, got, want)
		}
	}
	expect("a warm registration", l.Registered(at(0), testEndpoint, 0), Unchanged)
	expect("cold under the same id", l.Answered(at(1), at(1), testEndpoint, coldTime), BecameCold)
	expect("still cold", l.Registered(at(2), testEndpoint, coldTime), Unchanged)
	earlier := testEndpoint
	earlier.Incarnation--
	expect("a late registration of the predecessor", l.Registered(at(2.1), earlier, 0), Unchanged)
	expect("an answer of the predecessor", l.Answered(at(2.2), at(2.2), earlier, 0), Unchanged)
	if l.ColdCount(at(4.9)) != 1 {
		t.Error("not cold for as long as the endpoint said")
	}
	expect("a warm answer", l.Answered(at(4.9), at(4.9), testEndpoint, 0), BecameWarm)
	expect("presumed", l.Presume(at(7), testEndpoint), BecameCold)
	if views := l.Views(at(7)); len(views) != 1 || !views[0].Presumed || views[0].ColdForMS != coldTime.Milliseconds() {
		t.Errorf("presumed: %+v", views)
	}
	expect("a warm registration ends it", l.Registered(at(8), testEndpoint, 0), BecameWarm)
	if l.Bars(at(8), "e") {
		t.Error("barred though it was never cold")
	}
	l.Presume(at(9), testEndpoint)
	if warm := l.Expire(at(12)); len(warm) != 1 || l.ColdCount(at(12)) != 0 {
		t.Errorf("warm at the end of the cold time: %v", warm)
	}
	if l.Expire(at(13)); len(l.endpoints) != 0 || len(l.groups) != 0 {
		t.Error("a warm endpoint is remembered")
	}
}

// TestAnIDThatMovesToAnotherServiceIsForgottenAtTheFirst guards against states that stay in
// the list of a service or are dropped with those of another one.
func TestAnIDThatMovesToAnotherServiceIsForgottenAtTheFirst(t *testing.T) {
	l := newTestLimiter("a", "a")
	l.Registered(start, testEndpoint, coldTime)
	moved := testEndpoint
	moved.Service, moved.Incarnation = "other", 6
	if l.Registered(start, moved, coldTime) != BecameCold {
		t.Error("not cold at its new service")
	}
	if l.Expire(start); len(l.endpoints) != 1 || len(l.groups) != 1 || l.groups["other"] == nil {
		t.Errorf("%d endpoints in %d services", len(l.endpoints), len(l.groups))
	}
}

// TestAnEndpointThatBecameWarmIsNotFlooded guards against a rise from the cold rate to all
// requests of the fleet at once.
func TestAnEndpointThatBecameWarmIsNotFlooded(t *testing.T) {
	const routers = 25
	sent := make([]int, rampTime/rampStep)
	for i := range routers {
		l := newTestLimiter(name(i), names(0, routers)...)
		l.Registered(start, testEndpoint, coldTime)
		for ms := range rampTime.Milliseconds() {
			since := time.Duration(ms) * time.Millisecond
			if now := start.Add(coldTime + since); !l.Bars(now, "e") {
				l.Sent(now, "e")
				sent[since/rampStep]++
			}
		}
		if now := start.Add(coldTime + rampTime); l.Bars(now, "e") {
			t.Fatal("barred after the ramp")
		}
	}
	for step, n := range sent {
		rate := float64(n) / rampStep.Seconds()
		// Each router may send one request at the start of a step at once.
		if highest := float64(int64(coldRate*2)<<step) + routers/rampStep.Seconds(); rate > highest {
			t.Errorf("step %d: %.0f requests a second, want at most %.0f", step, rate, highest)
		}
	}
}

// TestRefusedCallersReturnAtDifferentTimes guards against callers that all return at once
// when only cold endpoints are left.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	for _, fleet := range [][]string{{"a"}, names(0, 300)} {
		l := newTestLimiter("a", fleet...)
		l.Registered(start, testEndpoint, coldTime)
		times := make(map[time.Duration]int)
		for range 30 {
			wait, ok := l.RetryAfter(start, "s", func(Endpoint) bool { return true })
			if !ok || wait <= 0 || wait > coldTime+rampTime {
				t.Fatalf("%d routers: wait %s, known %t", len(fleet), wait, ok)
			}
			times[wait]++
		}
		for wait, n := range times {
			if n > 2 {
				t.Errorf("%d routers: %d callers return after %s", len(fleet), n, wait)
			}
		}
		if _, ok := l.RetryAfter(start, "other", func(Endpoint) bool { return true }); ok {
			t.Error("a time for a service without cold endpoints")
		}
	}
}

func TestWithoutADeclaredRateNothingIsBarred(t *testing.T) {
	for what, l := range map[string]*Limiter{"no bound": NewLimiter("a", Bound{}), "no rate": NewLimiter("a", testBound)} {
		if what == "no bound" {
			l.SetServices(start, testServices)
		}
		l.Registered(start, testEndpoint, coldTime)
		if l.Presume(start, Endpoint{ID: "f", Service: "s"}) != Unchanged || l.Bars(start, "e") || l.Bars(start, "f") {
			t.Errorf("%s: barred", what)
		}
	}
}

// TestASmallBoundIsKept covers rates and bounds that allow less than a request for each of
// two views of the fleet.
func TestASmallBoundIsKept(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want fleetshare.Division
	}{
		{rate: 0.2, want: fleetshare.Division{Places: 1, Window: 5 * time.Second}},
		{rate: 1, want: fleetshare.Division{Places: 1, Window: window}},
	} {
		if got := (Bound{Overrun: 1.5, Slack: 2}).divide(c.rate); got != c.want {
			t.Errorf("rate %v: %+v, want %+v", c.rate, got, c.want)
		}
	}
	if got := (Bound{Overrun: 1}).divide(1); got.Places != 0 || got.Window == 0 {
		t.Errorf("a bound of one request: %+v", got)
	}
}

// TestProofARouterThatGainsAPlaceWaits guards against two routers that use a place in one
// window, also if a router gains one place as it loses another.
func TestProofARouterThatGainsAPlaceWaits(t *testing.T) {
	before := names(0, 10)
	found := 0
	for i := range 50 {
		e := Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "s"}
		for _, self := range before[1:] {
			l := newTestLimiter(self, before...)
			l.Registered(start, e, time.Minute)
			had := l.endpoints[e.ID].places
			at := start.Add(10 * time.Second)
			l.SetFleet(at, names(1, 11))
			gained, lost := difference(l.endpoints[e.ID].places, had), difference(had, l.endpoints[e.ID].places)
			if len(gained) == 0 || len(lost) < len(gained) {
				continue
			}
			if found++; !l.Bars(at.Add(window-1), e.ID) {
				t.Errorf("%s gained %v, lost %v and doesn't wait", self, gained, lost)
			}
		}
	}
	if found == 0 {
		t.Fatal("no router gained and lost places at once")
	}
}

func difference(a, b []int) []int {
	return slices.DeleteFunc(slices.Clone(a), func(place int) bool { return slices.Contains(b, place) })
}

// TestProofOlderWordsDoNotMakeAnEndpointWarm guards against a heartbeat or a response from
// before the endpoint became cold that is read after it.
func TestProofOlderWordsDoNotMakeAnEndpointWarm(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	l := newTestLimiter("a", "a")
	l.Answered(at(1), at(1), testEndpoint, 20*time.Second)
	if l.Registered(at(1.5), testEndpoint, 0) != Unchanged || l.Answered(at(1.6), at(0.9), testEndpoint, 0) != Unchanged {
		t.Error("an older word made the endpoint warm")
	}
	if l.Registered(at(12), testEndpoint, 0) != BecameWarm {
		t.Error("a registration doesn't end what a wrong response said")
	}
	if l.Answered(at(20), at(14), testEndpoint, coldTime) != Unchanged {
		t.Error("cold by a response that says it is warm by now")
	}
	l.Failed(at(30), testEndpoint, Refused)
	if l.Registered(at(30.1), testEndpoint, 0) != Unchanged {
		t.Error("a heartbeat from before the failure made the endpoint warm")
	}
	later := testEndpoint
	later.Incarnation++
	if l.Registered(at(30.2), later, 0) != BecameWarm {
		t.Error("a later incarnation says that it is warm")
	}
	// A clock was ahead and was set back.
	l.Registered(at(40), later, time.Hour)
	if l.Registered(at(41), testEndpoint, 0) != Unchanged || l.Registered(at(51), testEndpoint, 0) != BecameWarm {
		t.Error("an earlier incarnation that registers for 10 s is ignored")
	}
}

// TestProofLostPacketsDoNotBarSoundEndpoints guards against endpoints that count as cold
// because the links of a router lose packets or are cut.
func TestProofLostPacketsDoNotBarSoundEndpoints(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	l := newTestLimiter("a", "a")
	expect := func(what string, got, want Change) {
		t.Helper()
		if got != want {
			t.Errorf("%s: change %d, want %d", what, got, want)
		}
	}
	for i := range 10 {
		expect("answers between failures", l.Failed(at(float64(i)), testEndpoint, TimedOut), Unchanged)
		l.Reached(at(float64(i)+0.5), "e")
	}
	for i := 20; i < 23; i++ {
		expect("no endpoint answers", l.Failed(at(float64(i)), testEndpoint, TimedOut), Unchanged)
	}
	l.Reached(at(24), "other")
	expect("only this one is silent", l.Failed(at(24.1), testEndpoint, TimedOut), BecameCold)
	expect("broken", l.Failed(at(40), Endpoint{ID: "f", Service: "s"}, Broken), Unchanged)
	expect("refused", l.Failed(at(41), Endpoint{ID: "f", Service: "s"}, Refused), BecameCold)
	if l.Expire(at(80)); len(l.failing) != 0 {
		t.Error("failures are remembered for ever")
	}
}

// BenchmarkNewFleet is a change of the fleet while a third of the endpoints is cold.
func BenchmarkNewFleet(b *testing.B) {
	l := newTestLimiter("router-7", names(0, 360)...)
	for i := range 4000 {
		l.Registered(start, Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "s"}, time.Hour)
	}
	for i := 0; b.Loop(); i++ {
		l.SetFleet(start, names(i%2, 360))
	}
}
