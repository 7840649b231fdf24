package direct

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"
)

// cpuSim is a processor with a share of a core that runs the steps of requests in the
// order in which they become ready, and a router that sheds load on it.
type cpuSim struct {
	rng      *rand.Rand
	shedder  loadShedder
	now      float64
	freeAt   float64
	share    float64
	refused  int
	served   []float64
	arrivals float64
	ready    []cpuStep
}

// cpuStep is a step of a request that becomes ready at a time. left is the number of
// steps that follow, 0 for a timer.
type cpuStep struct{ at, arrived, left float64 }

const (
	// A request takes 0.7 ms of a core, in 20 steps 1 ms apart; a refused one 0.13 ms.
	requestSteps   = 20
	requestStepMS  = 0.035
	refusedMS      = 0.13
	stepIntervalMS = 1
)

// run plays some seconds of requests.
func (s *cpuSim) run(seconds float64) {
	next, timer := 0.0, float64(lagSampleInterval.Milliseconds())
	for s.now < seconds*1000 {
		i := 0
		for j := range s.ready {
			if s.ready[j].at < s.ready[i].at {
				i = j
			}
		}
		switch {
		case timer <= next && (len(s.ready) == 0 || timer <= s.ready[i].at):
			s.now = timer
			lag := max(s.freeAt-s.now, 0)
			s.shedder.observe(time.Duration(lag * float64(time.Millisecond)))
			timer = s.now + lag + float64(lagSampleInterval.Milliseconds())
		case len(s.ready) == 0 || next <= s.ready[i].at:
			s.now = next
			next += s.rng.ExpFloat64() * 1000 / s.arrivals
			if s.rng.Float64() < s.shedder.share {
				s.refused++
				s.execute(refusedMS)
				continue
			}
			s.ready = append(s.ready, cpuStep{at: s.now, arrived: s.now, left: requestSteps})
		default:
			step := s.ready[i]
			s.ready = append(s.ready[:i], s.ready[i+1:]...)
			s.now = step.at
			done := s.execute(requestStepMS)
			if step.left--; step.left > 0 {
				step.at = done + stepIntervalMS
				s.ready = append(s.ready, step)
				continue
			}
			s.served = append(s.served, done-step.arrived)
		}
	}
}

// execute runs a piece of work after all that is ready before and returns its end.
func (s *cpuSim) execute(ms float64) float64 {
	s.freeAt = max(s.freeAt, s.now) + ms/s.share
	return s.freeAt
}

// TestOverloadedRouterServesWhatItAccepts plays a VM with 0.144 of a core to which the
// balancer sends up to 400 requests a second, while it can bear about 200. It guards
// against a router that accepts all of them and serves none in time: the accepted ones
// must take less than 200 ms in the middle, half of the strictest objective of a first
// token, and three fifths of what the VM can bear must be accepted. Below half of its
// capacity it must refuse nothing but one in a hundred.
func TestOverloadedRouterServesWhatItAccepts(t *testing.T) {
	const seconds, share = 20, 0.144
	for _, arrivals := range []float64{15, 100, 250, 300, 400} {
		s := &cpuSim{rng: rand.New(rand.NewPCG(1, 2)), share: share, arrivals: arrivals}
		s.run(seconds)
		slices.Sort(s.served)
		median, refused := s.served[len(s.served)/2], float64(s.refused)/(arrivals*seconds)
		t.Logf("%3.0f requests/s: %.0f/s served in %.0f ms (median), %.0f ms (95%%), %.3f refused, lag %s",
			arrivals, float64(len(s.served))/seconds, median, s.served[len(s.served)*95/100], refused, s.shedder.lag)
		capacity := share * 1000 / (requestSteps * requestStepMS)
		if arrivals < capacity/2 && refused > 0.01 {
			t.Errorf("%.0f requests/s: %.3f are refused", arrivals, refused)
		}
		if median > 200 || arrivals > capacity && float64(len(s.served)) < 0.6*(capacity-arrivals*refused*refusedMS/(requestSteps*requestStepMS))*seconds {
			t.Errorf("%.0f requests/s: %d served, median %.0f ms", arrivals, len(s.served), median)
		}
	}
}

// TestPauseCausesNoShedding: a process that was paused for seconds is not overloaded.
func TestPauseCausesNoShedding(t *testing.T) {
	var s loadShedder
	s.observe(4 * time.Second)
	for range 100 {
		s.observe(300 * time.Microsecond)
		if s.share > 0.01 {
			t.Fatalf("%.3f of the requests are refused after a pause", s.share)
		}
	}
}

// TestSaturatedRouterIsUnreadyForAWhile guards against a caller that sends more than its
// router can bear and stays there, and against a router that changes its state with every
// sample.
func TestSaturatedRouterIsUnreadyForAWhile(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var s saturation
	if s.update(now, 0.2, 0.5, false) {
		t.Fatal("unready though most requests are accepted")
	}
	unreadyFor := func() time.Duration {
		t.Helper()
		if !s.update(now, 0.5, 0, false) {
			t.Fatal("ready though saturated")
		}
		started := now
		for s.update(now, 0, 0, false) {
			now = now.Add(100 * time.Millisecond)
		}
		return now.Sub(started)
	}
	for _, want := range []time.Duration{10, 20, 40, 60, 60} {
		if got := unreadyFor(); got != want*time.Second {
			t.Fatalf("unready for %s, want %ds", got, want)
		}
	}
	now = now.Add(time.Minute)
	if !s.update(now, 0, 0, true) {
		t.Fatal("ready after a stall")
	}
	now = now.Add(time.Minute)
	if got := unreadyFor(); got != 10*time.Second {
		t.Fatalf("unready for %s after a calm minute, want 10s", got)
	}
}

// TestFullLinkMakesTheRouterUnready plays a VM with a link of 20 Mbit/s to which callers
// send long prompts. It guards against a router that stays ready while requests wait
// for the link: no timer is late then.
func TestFullLinkMakesTheRouterUnready(t *testing.T) {
	for _, c := range []struct {
		requests, bytes int64
		unready         bool
	}{{15, 12_000, false}, {100, 12_000, false}, {200, 12_000, true}} {
		u := linkUse{rate: 20 * 1_000_000 / 8}
		var s saturation
		now, unready := time.Unix(1_000_000, 0), false
		for i := range int64(5 * time.Second / lagSampleInterval) {
			now = now.Add(lagSampleInterval)
			received := i * c.requests * c.bytes / int64(time.Second/lagSampleInterval)
			u.observe(received, received/4, lagSampleInterval)
			unready = s.update(now, 0, u.share(), false)
		}
		if unready != c.unready {
			t.Errorf("%d requests/s: unready %v with %.2f of the link in use", c.requests, unready, u.share())
		}
	}
}

// TestStalledProcessSendsNothing guards against requests that are sent after their callers
// have left, or to endpoints that have announced their leaving: the process got no
// processor time for seconds, and handles what waited before it knows of either.
func TestStalledProcessSendsNothing(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	g.awaitGrant()
	send := func() callerResponse {
		return g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50")
	}
	o := &g.router.overload
	o.started = time.Now().Add(-10 * time.Second)
	o.stalls.tick(5 * time.Second)
	if got := send(); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || g.runs() != 0 {
		t.Fatalf("during the stall: %d runs, response %+v", g.runs(), got)
	}
	if !o.stalls.tick(time.Since(o.started)) {
		t.Fatal("the stall isn't noticed")
	}
	if got := send(); got.status != http.StatusServiceUnavailable {
		t.Fatalf("right after the stall: response %+v", got)
	}
	time.Sleep(stallRecovery)
	o.stalls.tick(time.Since(o.started))
	if got := send(); got.status != http.StatusOK {
		t.Fatalf("after the stall: response %+v", got)
	}
}
