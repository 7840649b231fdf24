package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawswitch/routing"
)

// The load of the fleet test is that of the sheet of the large deployment: 160 endpoints
// that process 85.2 prompt tokens a millisecond, and three kinds of generations.
const (
	fleetEndpoints   = 160
	tokensPerMS      = 85.2
	fleetSeconds     = 16
	fleetWarmSeconds = 4
	// peerLatency is the one-way delay between routers, with the time to handle a message.
	peerLatency = time.Millisecond
)

// requestKind is a kind of generation on the sheet. Token counts are means of log-normal
// distributions with the given sigma.
type requestKind struct {
	perSecond       float64
	root, shared    float64
	roots, subjects int
	own, sigma      float64
	maxOwn          float64
	objective       time.Duration
}

var fleetKinds = []requestKind{
	{perSecond: 247, root: 512, roots: 1, shared: 4870, subjects: 1400, own: 6610, sigma: 1.4, maxOwn: 54_600, objective: 800 * time.Millisecond},
	{perSecond: 439, root: 119, roots: 160, shared: 79, subjects: 2487, own: 628, sigma: 1, maxOwn: 3310, objective: 400 * time.Millisecond},
	{perSecond: 478, root: 341, roots: 160, shared: 227, subjects: 1806, own: 1800, sigma: 1.3, maxOwn: 6870, objective: 400 * time.Millisecond},
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Time
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)        { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simEndpoint processes prompts one after another and caches their shared parts.
type simEndpoint struct {
	freeAt time.Time
	speed  float64
	cached map[string]bool
}

// placementSim is a fleet of routers, each with its own picker, before the endpoints.
type placementSim struct {
	now       time.Time
	rng       *rand.Rand
	events    simQueue
	pickers   []*routing.PromptPicker
	endpoints map[string]*simEndpoint
	// changed is called when the unread tokens of a router at an endpoint have changed.
	changed func(router int, endpoint string)
	// updates counts the load updates that routers sent each other. read counts the tokens
	// of shared parts that endpoints had to process.
	updates     int
	read        float64
	late, count [3]int
}

func newPlacementSim(routers int, seed uint64) *placementSim {
	s := &placementSim{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 2)), endpoints: make(map[string]*simEndpoint),
		changed: func(int, string) {},
	}
	var list []routing.PromptEndpoint
	for i := range fleetEndpoints {
		id := fmt.Sprintf("e%03d", i)
		list = append(list, routing.PromptEndpoint{ID: id, Service: "s", Address: id, FailureDomain: fmt.Sprintf("fd-%d", i%5)})
		s.endpoints[id] = &simEndpoint{speed: []float64{1, 1, 1.3}[i%3], cached: make(map[string]bool)}
	}
	for i := range routers {
		p := routing.NewPromptPicker(fmt.Sprintf("fd-%d", i%5))
		p.SetEndpoints(list)
		s.pickers = append(s.pickers, p)
	}
	return s
}

func (s *placementSim) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: s.now.Add(d), run: run})
}

// tokens draws a log-normal number of tokens.
func (s *placementSim) tokens(mean, sigma, most float64) int64 {
	return int64(min(mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2), most)) + 1
}

// arrive starts a request of a kind and schedules the next one.
func (s *placementSim) arrive(k int) {
	kind := fleetKinds[k]
	s.after(time.Duration(s.rng.ExpFloat64()/kind.perSecond*float64(time.Second)), func() { s.arrive(k) })
	subject := s.rng.IntN(kind.subjects)
	root := subject % kind.roots
	own := s.tokens(kind.own, kind.sigma, kind.maxOwn)
	q := routing.PromptQuery{Service: "s", PromptTokens: int64(kind.root+kind.shared) + own, Parts: []routing.PromptPart{
		{ID: fmt.Sprintf("r%d-%d", k, root), Tokens: int64(kind.root)},
		{ID: fmt.Sprintf("p%d-%d", k, subject), Tokens: int64(kind.shared)},
		{ID: "own", Tokens: own},
	}}
	started, router := s.now, s.rng.IntN(len(s.pickers))
	choice, err := s.pickers[router].Pick(s.now, q)
	if err != nil {
		panic(err)
	}
	s.pickers[router].Started(s.now, choice)
	s.serve(k, router, q, choice, started)
}

// serve processes a request's prompt at the chosen endpoint.
func (s *placementSim) serve(k, router int, q routing.PromptQuery, choice routing.PromptChoice, started time.Time) {
	id := choice.Endpoint.ID
	s.changed(router, id)
	e := s.endpoints[id]
	unread := q.PromptTokens
	for _, part := range q.Parts[:2] {
		if !e.cached[part.ID] {
			s.read += float64(part.Tokens)
			e.cached[part.ID] = true
			continue
		}
		unread -= part.Tokens
	}
	if e.freeAt.Before(s.now) {
		e.freeAt = s.now
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(unread) / tokensPerMS * e.speed * float64(time.Millisecond)))
	s.after(e.freeAt.Sub(s.now), func() {
		s.pickers[router].PromptProcessed(choice)
		s.changed(router, id)
		if started.After(time.Unix(1_000_000+fleetWarmSeconds, 0)) {
			s.count[k]++
			if s.now.Sub(started) > fleetKinds[k].objective {
				s.late[k]++
			}
		}
	})
	s.after(e.freeAt.Sub(s.now)+400*time.Millisecond, func() { s.pickers[router].Ended(choice, true) })
}

func (s *placementSim) run() {
	for k := range fleetKinds {
		s.arrive(k)
	}
	end := s.now.Add(fleetSeconds * time.Second)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// lateShare returns the share of a kind's requests whose first token was late.
func (s *placementSim) lateShare(k int) float64 { return float64(s.late[k]) / float64(s.count[k]) }

// updateRate returns the updates a router and second.
func (s *placementSim) updateRate() float64 {
	return float64(s.updates) / fleetSeconds / float64(len(s.pickers))
}

// describe returns a line with the late shares by kind.
func (s *placementSim) describe(name string) string {
	return fmt.Sprintf("%3d routers, %-10s: late %.3f %.3f %.3f, %5.1f updates a router and second, %.0f shared tokens read",
		len(s.pickers), name, s.lateShare(0), s.lateShare(1), s.lateShare(2), s.updateRate(), s.read)
}

// sendUpdates makes each router send its loads to all others when they have changed by
// least tokens or ended, at most each interval.
func (s *placementSim) sendUpdates(interval time.Duration, least int64) {
	pending := make([]map[string]bool, len(s.pickers))
	reported := make([]map[string]int64, len(s.pickers))
	waiting := make([]bool, len(s.pickers))
	for i := range pending {
		pending[i], reported[i] = make(map[string]bool), make(map[string]int64)
	}
	var send func(router int)
	send = func(router int) {
		if len(pending[router]) == 0 {
			waiting[router] = false
			return
		}
		var loads []routing.PeerLoad
		for id := range pending[router] {
			load := s.pickers[router].OwnLoad(id)
			reported[router][id] = load.UnreadTokens
			loads = append(loads, load)
		}
		clear(pending[router])
		from := fmt.Sprint(router)
		s.updates += len(s.pickers) - 1
		s.after(peerLatency, func() {
			for i, p := range s.pickers {
				if i != router {
					for _, load := range loads {
						p.SetPeerLoad(from, load)
					}
				}
			}
		})
		s.after(interval, func() { send(router) })
	}
	s.changed = func(router int, id string) {
		unread := s.pickers[router].OwnLoad(id).UnreadTokens
		if diff := unread - reported[router][id]; diff < least && diff > -least && (unread > 0 || reported[router][id] == 0) {
			return
		}
		pending[router][id] = true
		if !waiting[router] {
			waiting[router] = true
			send(router)
		}
	}
}

// TestFleetAvoidsLongPromptsOfOtherRouters plays the load of the large deployment on
// fleets of 5 to 360 routers that choose endpoints apart. It guards against short prompts
// that wait behind a long one of another router, and against updates whose number grows
// with the fleet.
//
// Compared with one picker that knows all requests, at most 2 in 1,000 more first tokens
// of each kind may be late, with at most 100 updates a router and second on larger fleets.
func TestFleetAvoidsLongPromptsOfOtherRouters(t *testing.T) {
	one := newPlacementSim(1, 0)
	one.run()
	t.Log(one.describe("one picker"))
	for _, n := range []int{5, 25, 103, 360} {
		alone := newPlacementSim(n, 0)
		alone.run()
		t.Log(alone.describe("no updates"))
		s := newPlacementSim(n, 0)
		s.sendUpdates(time.Duration(n-1)*2*time.Millisecond, routing.MinReportedTokens(n-1))
		s.run()
		t.Log(s.describe("updates"))
		for k := range s.late {
			if s.lateShare(k) > one.lateShare(k)+0.002 {
				t.Errorf("%d routers: %.3f of kind %d are late, %.3f with one picker", n, s.lateShare(k), k, one.lateShare(k))
			}
		}
		if rate := s.updateRate(); n > 25 && rate > 100 {
			t.Errorf("%d routers: %.0f updates a router and second", n, rate)
		}
	}
}
