package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawswitch/routing"
)

// fleetRun is a load of long and short prompts over several routers.
type fleetRun struct {
	routers []*routing.PromptPicker
	// open are the choices of the requests under way, by router.
	open map[int][]routing.PromptChoice
	// busyUntil is when each endpoint has read all prompts it has, by its time.
	busyUntil map[string]time.Time
	tell      bool
}

// readTime is what an endpoint takes to read tokens of a prompt, at 85 a ms.
func readTime(tokens int64) time.Duration { return time.Duration(tokens) * time.Millisecond / 85 }

// send picks an endpoint at a router and returns the time until the prompt is read.
func (f *fleetRun) send(t *testing.T, now time.Time, router int, q routing.PromptQuery) time.Duration {
	t.Helper()
	p := f.routers[router]
	choice, err := p.Pick(now, q)
	if err != nil {
		t.Fatal(err)
	}
	p.Sent(now, choice)
	f.open[router] = append(f.open[router], choice)
	id := choice.Endpoint.ID
	begin := now
	if f.busyUntil[id].After(now) {
		begin = f.busyUntil[id]
	}
	done := begin.Add(readTime(choice.Unread))
	f.busyUntil[id] = done
	f.share(router, id)
	return done.Sub(now)
}

// share tells the other routers a load, as the notices between them do.
func (f *fleetRun) share(router int, id string) {
	if !f.tell {
		return
	}
	for i, other := range f.routers {
		if i != router {
			other.Told(fmt.Sprint("r", router), f.routers[router].OwnLoad(id))
		}
	}
}

// late plays requests of one time in bursts of several routers, and returns how
// many prompts took longer than the objective to be read.
func late(t *testing.T, tell bool) int {
	t.Helper()
	const routers, bursts, burst = 4, 200, 8
	const objective = 400 * time.Millisecond
	f := &fleetRun{open: make(map[int][]routing.PromptChoice), busyUntil: make(map[string]time.Time), tell: tell}
	for range routers {
		f.routers = append(f.routers, prompts(12))
	}
	random := rand.New(rand.NewPCG(1, 2))
	count := 0
	for i := range bursts {
		now := start.Add(time.Duration(i) * time.Second)
		for n := range burst {
			tokens := int64(800)
			if n%2 == 0 {
				tokens = 10_000 + random.Int64N(20_000)
			}
			if f.send(t, now, n%routers, routing.PromptQuery{Service: "s", PromptTokens: tokens}) > objective {
				count++
			}
		}
		// All prompts are read before the next burst.
		for r, p := range f.routers {
			for _, choice := range f.open[r] {
				p.Finished(choice, false)
				f.share(r, choice.Endpoint.ID)
			}
			f.open[r] = nil
		}
	}
	return count
}

// TestRoutersThatTellEachOtherDontCollide plays the load that made first tokens
// late on the users' calm days: long prompts of several routers at once, each of
// which an endpoint reads in 100 to 350 ms. With half as many prompts as endpoints,
// none needs to wait for one of another router.
func TestRoutersThatTellEachOtherDontCollide(t *testing.T) {
	alone, told := late(t, false), late(t, true)
	if alone < 50 {
		t.Fatalf("only %d prompts are late without notices: the load shows nothing", alone)
	}
	if told > 0 {
		t.Fatalf("%d prompts are late, %d without notices", told, alone)
	}
}

func TestWhatARouterToldIsForgottenWithIt(t *testing.T) {
	p := prompts(2)
	p.Told("r1", routing.PeerLoad{Endpoint: "e000", Unread: 50_000})
	p.Told("r2", routing.PeerLoad{Endpoint: "e001", Unread: 1_000})
	p.Told("r1", routing.PeerLoad{Endpoint: "unknown", Unread: 1_000})
	p.Told("r2", routing.PeerLoad{Endpoint: "e001", Unread: -5})
	choice, err := p.Pick(start, routing.PromptQuery{Service: "s", PromptTokens: 100})
	if err != nil || choice.Endpoint.ID != "e001" || choice.PeerWaiting != 1_000 {
		t.Fatalf("%+v, %v", choice, err)
	}
	p.Forget("r1")
	choice, err = p.Pick(start, routing.PromptQuery{Service: "s", PromptTokens: 100})
	if err != nil || choice.Endpoint.ID != "e000" || choice.PeerWaiting != 0 {
		t.Fatalf("%+v, %v", choice, err)
	}
}
