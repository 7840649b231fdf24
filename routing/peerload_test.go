package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawswitch/routing"
)

// fleet simulates several routers that send long and short prompts to the same endpoints.
type fleet struct {
	routers []*routing.PromptPicker
	// inFlight holds the choices of the requests in flight, by router.
	inFlight map[int][]routing.PromptChoice
	// busyUntil is when each endpoint will have processed all its prompts.
	busyUntil map[string]time.Time
	// shareLoads makes the routers report their loads to each other.
	shareLoads bool
}

// processingTime returns how long an endpoint takes to process prompt tokens, at 85
// tokens per millisecond.
func processingTime(tokens int64) time.Duration { return time.Duration(tokens) * time.Millisecond / 85 }

// send sends a request from a router and returns the time until its prompt is
// processed.
func (f *fleet) send(t *testing.T, now time.Time, router int, q routing.PromptQuery) time.Duration {
	t.Helper()
	p := f.routers[router]
	choice, err := p.Pick(now, q)
	if err != nil {
		t.Fatal(err)
	}
	p.Started(now, choice)
	f.inFlight[router] = append(f.inFlight[router], choice)
	id := choice.Endpoint.ID
	startsAt := now
	if f.busyUntil[id].After(now) {
		startsAt = f.busyUntil[id]
	}
	endsAt := startsAt.Add(processingTime(choice.UnreadTokens))
	f.busyUntil[id] = endsAt
	f.shareLoad(router, id)
	return endsAt.Sub(now)
}

// shareLoad reports a router's load at an endpoint to all other routers.
func (f *fleet) shareLoad(router int, id string) {
	if !f.shareLoads {
		return
	}
	for i, other := range f.routers {
		if i != router {
			other.SetPeerLoad(fmt.Sprint("r", router), f.routers[router].OwnLoad(id))
		}
	}
}

// countLate sends bursts of prompts from several routers and returns how many prompts
// took longer than maxLatency to be processed.
func countLate(t *testing.T, shareLoads bool) int {
	t.Helper()
	const routers, bursts, burst = 4, 200, 8
	const maxLatency = 400 * time.Millisecond
	f := &fleet{inFlight: make(map[int][]routing.PromptChoice), busyUntil: make(map[string]time.Time), shareLoads: shareLoads}
	for range routers {
		f.routers = append(f.routers, newPromptPicker(12))
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
			if f.send(t, now, n%routers, routing.PromptQuery{Service: "s", PromptTokens: tokens}) > maxLatency {
				count++
			}
		}
		// All prompts are processed before the next burst.
		for r, p := range f.routers {
			for _, choice := range f.inFlight[r] {
				p.Ended(choice, false)
				f.shareLoad(r, choice.Endpoint.ID)
			}
			f.inFlight[r] = nil
		}
	}
	return count
}

// TestPeerLoadsKeepRoutersOffBusyEndpoints guards against late first tokens at low
// load: routers that don't know of each other's prompts send long ones, which take
// 100 to 350 ms to process, to the same endpoint at once. With fewer prompts than
// endpoints, none needs to wait for one of another router.
func TestPeerLoadsKeepRoutersOffBusyEndpoints(t *testing.T) {
	withoutSharing, withSharing := countLate(t, false), countLate(t, true)
	if withoutSharing < 50 {
		t.Fatalf("only %d prompts are late without shared loads; the test load is too low to show an effect", withoutSharing)
	}
	if withSharing > 0 {
		t.Fatalf("%d prompts are late with shared loads, %d without; want none with them", withSharing, withoutSharing)
	}
}

func TestForgottenPeerLoadsAreIgnored(t *testing.T) {
	p := newPromptPicker(2)
	p.SetPeerLoad("r1", routing.PeerLoad{Endpoint: "e000", UnreadTokens: 50_000})
	p.SetPeerLoad("r2", routing.PeerLoad{Endpoint: "e001", UnreadTokens: 1_000})
	p.SetPeerLoad("r1", routing.PeerLoad{Endpoint: "unknown", UnreadTokens: 1_000})
	p.SetPeerLoad("r2", routing.PeerLoad{Endpoint: "e001", UnreadTokens: -5})
	choice, err := p.Pick(start, routing.PromptQuery{Service: "s", PromptTokens: 100})
	if err != nil || choice.Endpoint.ID != "e001" || choice.PeerWaitingTokens != 1_000 {
		t.Fatalf("got %+v, %v; want e001 with 1000 tokens of peers", choice, err)
	}
	p.ForgetPeer("r1")
	choice, err = p.Pick(start, routing.PromptQuery{Service: "s", PromptTokens: 100})
	if err != nil || choice.Endpoint.ID != "e000" || choice.PeerWaitingTokens != 0 {
		t.Fatalf("got %+v, %v; want e000 without tokens of peers", choice, err)
	}
}
