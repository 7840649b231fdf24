package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// world is a fleet of routers under requests, some of which have a deadly part. Its time is in
// milliseconds.
type world struct {
	routers, endpoints int
	// perSecond is the rate of all requests, share the part of them that is deadly.
	perSecond float64
	share     float64
	deadly    []string
	// docs is the number of middle parts. With oneDoc, all deadly requests share one of them.
	docs   int
	oneDoc bool
	// deadlyFirst puts the deadly part first. lateRouters read nothing for lateMS, and
	// restarts is the number of routers that start again every second.
	deadlyFirst bool
	lateRouters int
	lateMS      int64
	restarts    int
	// failAt is when a third of the endpoints fails together, 0 for never.
	failAt int64
	// attempts is the number of endpoints that a request may reach.
	attempts int
}

const (
	worldMS      = 30_000
	deadlyFromMS = 4_000
	recordMS     = 400
	contactMS    = 3_000
	downMS       = 3_000
)

type worldRouter struct {
	parts   *Parts
	crashes []Crash
	answers []Answer
	// startedMS is when the router started, and lateUntil the time until which it reads nothing.
	startedMS, lateUntil int64
}

type worldRequest struct {
	router, endpoint, attempts int
	parts                      []string
	deadly                     bool
	beginsMS                   int64
}

type published struct {
	crashes []Crash
	answers []Answer
}

// result counts what happened in a world.
type result struct {
	crashes int
	// after is the number of deadly requests that routers in touch sent later than contactMS
	// after the fifth crash by the same part.
	after map[string]int
	// sound is the number of sound requests, refused that of those refused, settled and
	// refusedSettled the same from twice contactMS after the fifth crash on.
	sound, refused, settled, refusedSettled int
}

func (w world) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 7))
	res := result{after: make(map[string]int)}
	routers := make([]*worldRouter, w.routers)
	for i := range routers {
		routers[i] = &worldRouter{parts: New()}
		if i < w.lateRouters {
			routers[i].lateUntil = w.lateMS
		}
	}
	down := make([]int64, w.endpoints)
	crashesBy := make(map[string][]int64)
	var records []published
	rows := make([]published, w.routers)
	readAll := func(router *worldRouter) {
		for _, row := range rows {
			router.read(row)
		}
	}
	var running []worldRequest
	send := func(now int64, r worldRequest) {
		var up []int
		for e, until := range down {
			if until <= now {
				up = append(up, e)
			}
		}
		if len(up) == 0 {
			return
		}
		r.endpoint, r.beginsMS = up[random.IntN(len(up))], now+20+random.Int64N(280)
		for _, d := range w.deadly {
			by := crashesBy[d]
			if slices.Contains(r.parts, d) && len(by) >= 5 && now > by[4]+contactMS && now > routers[r.router].startedMS+contactMS && now > routers[r.router].lateUntil+contactMS {
				res.after[d]++
			}
		}
		running = append(running, r)
	}
	crash := func(now int64, e int) {
		down[e] = now + downMS
		suspects := make(map[int][]string)
		var rest, retried []worldRequest
		for _, r := range running {
			if r.endpoint != e {
				rest = append(rest, r)
				continue
			}
			suspects[r.router] = append(suspects[r.router], r.parts...)
			if r.attempts++; r.attempts < w.attempts {
				retried = append(retried, r)
			}
		}
		running = rest
		for i, parts := range suspects {
			c := Crash{Endpoint: fmt.Sprint(e), AtMS: now + random.Int64N(20), Suspects: routers[i].parts.Suspects(parts)}
			routers[i].parts.Crashed(c)
			routers[i].crashes = append(routers[i].crashes, c)
		}
		for _, r := range retried {
			if !routers[r.router].parts.Check(now, r.parts, none).Quarantined() {
				send(now, r)
			}
		}
	}
	for now := int64(0); now < worldMS; now++ {
		for range poisson(random, w.perSecond/1000) {
			r := worldRequest{router: random.IntN(w.routers), parts: []string{"shared", fmt.Sprintf("doc-%d", random.IntN(w.docs))}}
			if r.deadly = now >= deadlyFromMS && random.Float64() < w.share; r.deadly {
				if w.oneDoc {
					r.parts[1] = "doc-0"
				}
				d := w.deadly[random.IntN(len(w.deadly))]
				if w.deadlyFirst {
					r.parts = slices.Insert(r.parts, 0, d)
				} else {
					r.parts = append(r.parts, d)
				}
			}
			refused := routers[r.router].parts.Check(now, r.parts, none).Quarantined()
			if !r.deadly {
				settled := false
				for _, by := range crashesBy {
					settled = settled || len(by) >= 5 && now > by[4]+2*contactMS
				}
				res.sound++
				if settled {
					res.settled++
				}
				if refused {
					res.refused++
				}
				if refused && settled {
					res.refusedSettled++
				}
			}
			if !refused {
				send(now, r)
			}
		}
		for i := 0; i < len(running); i++ {
			r := running[i]
			if r.beginsMS > now {
				continue
			}
			if !r.deadly {
				running = slices.Delete(running, i, i+1)
				i--
				router := routers[r.router]
				publish, _ := router.parts.Answered(now, r.parts)
				for _, part := range publish {
					router.answers = append(router.answers, Answer{Part: part, AtMS: now})
				}
				continue
			}
			res.crashes++
			for _, d := range w.deadly {
				if slices.Contains(r.parts, d) {
					crashesBy[d] = append(crashesBy[d], now)
				}
			}
			crash(now, r.endpoint)
			i = -1
		}
		if w.failAt > 0 && now == w.failAt {
			for e := range w.endpoints / 3 {
				crash(now+random.Int64N(20), e)
			}
		}
		if now%recordMS == 0 {
			// What was published an interval ago is read, then the next records are written.
			for _, record := range records {
				for _, router := range routers {
					if now >= router.lateUntil {
						router.read(record)
					}
				}
			}
			records = records[:0]
			for i, router := range routers {
				if len(router.crashes)+len(router.answers) != len(rows[i].crashes)+len(rows[i].answers) && now >= router.lateUntil {
					rows[i] = published{crashes: slices.Clone(router.crashes), answers: slices.Clone(router.answers)}
					records = append(records, rows[i])
				}
				if now == router.lateUntil && now > 0 {
					readAll(router)
				}
			}
		}
		if now%1000 == 0 {
			for range w.restarts {
				i := random.IntN(w.routers)
				routers[i] = &worldRouter{parts: New(), startedMS: now, crashes: rows[i].crashes, answers: rows[i].answers}
				running = slices.DeleteFunc(running, func(r worldRequest) bool { return r.router == i })
				readAll(routers[i])
			}
		}
	}
	return res
}

func (r *worldRouter) read(record published) {
	for _, c := range record.crashes {
		r.parts.Crashed(c)
	}
	for _, a := range record.answers {
		r.parts.Cleared(a)
	}
}

func none(string, int64) bool { return false }

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for rest := mean; rest > 0; rest-- {
		if random.Float64() < min(rest, 1) {
			n++
		}
	}
	return n
}

// Sound requests share the caller and all other parts.
func TestProofDeadlyPartsAreStoppedAndSoundOnesServed(t *testing.T) {
	base := world{routers: 4, endpoints: 12, perSecond: 40, share: 0.05, deadly: []string{"deadly"}, docs: 119, attempts: 2}
	with := func(change func(*world)) world {
		w := base
		change(&w)
		return w
	}
	worlds := map[string]world{
		"few":                   base,
		"rare":                  with(func(w *world) { w.perSecond, w.share = 10, 0.04 }),
		"half":                  with(func(w *world) { w.share, w.endpoints = 0.5, 40 }),
		"most":                  with(func(w *world) { w.share, w.endpoints = 0.9, 60 }),
		"one document":          with(func(w *world) { w.oneDoc = true }),
		"first part":            with(func(w *world) { w.deadlyFirst = true }),
		"two parts":             with(func(w *world) { w.deadly = []string{"deadly", "fatal"} }),
		"no second attempt":     with(func(w *world) { w.attempts = 1 }),
		"routers learn late":    with(func(w *world) { w.lateRouters, w.lateMS = 2, 12_000 }),
		"routers restart":       with(func(w *world) { w.restarts = 1 }),
		"endpoints fail":        with(func(w *world) { w.failAt = 9_000 }),
		"100 routers":           with(func(w *world) { w.routers, w.endpoints, w.perSecond = 100, 160, 400 }),
		"100 routers, few":      with(func(w *world) { w.routers, w.endpoints, w.perSecond, w.share = 100, 160, 100, 0.01 }),
		"100 routers, restarts": with(func(w *world) { w.routers, w.endpoints, w.perSecond, w.restarts = 100, 160, 400, 3 }),
	}
	const maxAfter = 3
	for name, w := range worlds {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				res := w.run(seed)
				t.Logf("seed %d: %d crashes, after the fifth %v; %d of %d sound requests refused, settled %d of %d",
					seed, res.crashes, res.after, res.refused, res.sound, res.refusedSettled, res.settled)
				for part, n := range res.after {
					if n > maxAfter {
						t.Errorf("seed %d: %d requests with the part %s reached endpoints after the fifth crash, want at most %d", seed, n, part, maxAfter)
					}
				}
				if 2*res.refusedSettled > res.settled {
					t.Errorf("seed %d: %d of %d sound requests were refused once the crashes were known, want at most half", seed, res.refusedSettled, res.settled)
				}
			}
		})
	}
}
