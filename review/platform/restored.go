//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// prepaidTokens is the budget at first, toppedUpTokens that after the operator's change.
	prepaidTokens, toppedUpTokens = 1_000_000, 1_100_000
	requestDeadline               = 3 * time.Second
	// sendInterval is the time between two requests: 124,000 tokens a second while they are large.
	sendInterval = 45 * time.Millisecond
	// copyAge is the age of the copy from which the store comes back, awayTime how long it is
	// away, and rewriteDelay when the operator and the workers write again what is lost.
	copyAge      = 4 * time.Second
	awayTime     = 1500 * time.Millisecond
	rewriteDelay = 300 * time.Millisecond
	// killAfter is when the process is killed, after the store went away.
	killAfter = 900 * time.Millisecond
	// copyInterval is the time between two copies.
	copyInterval = 250 * time.Millisecond
	// usedShare is the share of the first budget that is used when the operator raises it.
	usedShare = 0.99
	// playTime bounds the requests before and those after the drill.
	playTime = 45 * time.Second

	tablePrepaid, tableHolders = "prepaid", "holders"
)

// size is the size of a request in tokens.
type size struct{ prompt, output int }

var (
	largeRequest = size{5500, 100}
	smallRequest = size{100, 20}
)

// restoredStore plays a drill in which the store comes back from a copy some seconds old. The
// process that last wrote to the store under a condition is killed while the store is away. All
// clients of the tenant are at that router. They then use up the budget.
func restoredStore(f *fleet) (verdict, error) {
	routes := []map[string]any{route("report", "streaming", "models", false, requestDeadline, 2)}
	f.configure(1, prepaidTokens, routes...)
	for n := range 3 {
		if _, err := f.startWorker(fmt.Sprintf("i-%d", n+1), "models"); err != nil {
			return verdict{}, err
		}
	}
	for range 4 {
		if _, err := f.addRouter(); err != nil {
			return verdict{}, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	used := f.routers[0]
	l := &load{fleet: f, router: used, size: largeRequest}
	ctx, cancel := context.WithTimeout(context.Background(), 2*playTime)
	defer cancel()
	go l.send(ctx)
	var copies []storeCopy
	var taken []time.Time
	for l.used() < usedShare*prepaidTokens && !l.exhausted(1) {
		copies, taken = append(copies, f.store.takeCopy()), append(taken, time.Now())
		time.Sleep(copyInterval)
		if ctx.Err() != nil {
			return verdict{}, fmt.Errorf("the clients used only %d tokens", l.used())
		}
	}
	if f.trouble {
		// The drill begins when the router has written what it holds of the raised budget.
		f.store.goAwayAfter(used.name, tablePrepaid, tableHolders)
	}
	f.record.addf("the operator raises prepaid to %d; %d tokens used", toppedUpTokens, l.used())
	f.configure(2, toppedUpTokens, routes...)
	if f.trouble {
		if err := f.drill(used, copies, taken, l); err != nil {
			return verdict{}, err
		}
		f.configure(2, toppedUpTokens, routes...)
		for _, wk := range f.workers {
			wk.register()
		}
	}
	until := time.Now().Add(playTime)
	for _, s := range []size{largeRequest, smallRequest} {
		// What is too little for a large request may do for small ones.
		l.change(f.routers[1], s)
		for time.Now().Before(until) && !l.exhausted(exhaustedRow) {
			time.Sleep(copyInterval)
		}
	}
	cancel()
	l.calls.Wait()
	f.record.addf("account at the end %s", f.store.value(tablePrepaid, "roaster", "account"))
	total := l.used()
	return verdict{
		broken:  total > toppedUpTokens,
		summary: fmt.Sprintf("the tenant got %d tokens, its prepaid is %d; answers by status: %v", total, toppedUpTokens, l.statuses()),
	}, nil
}

// drill waits until the store goes away, kills and restarts the process, and brings the store back
// from the newest copy of at least copyAge.
func (f *fleet) drill(r *router, copies []storeCopy, taken []time.Time, l *load) error {
	select {
	case <-f.store.gone:
	case <-time.After(startTimeout):
		return fmt.Errorf("%s wrote nothing for the raised budget", r.name)
	}
	n := len(copies) - 1
	for n > 0 && time.Since(taken[n]) < copyAge {
		n--
	}
	f.record.addf("store goes away; %d tokens used; account %s", l.used(), f.store.value(tablePrepaid, "roaster", "account"))
	time.Sleep(killAfter)
	r.signal(syscall.SIGKILL)
	r.kill()
	f.record.addf("%d tokens used", l.used())
	time.Sleep(restartDelay)
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(awayTime - killAfter - restartDelay)
	f.store.restore(copies[n])
	f.record.addf("store is back from a copy that was %.1f s old when it went away; account %s",
		time.Since(taken[n]).Seconds()-awayTime.Seconds(), f.store.value(tablePrepaid, "roaster", "account"))
	time.Sleep(rewriteDelay)
	return nil
}

// load sends the requests of a tenant's clients to one router.
type load struct {
	fleet *fleet
	calls sync.WaitGroup

	mu      sync.Mutex
	router  *router
	size    size
	sent    uint64
	events  map[string]int
	results map[int]int
	// refused is the number of requests in a row that were refused as the budget is used up.
	refused int
}

// change sends the next requests to another router, and of another size.
func (l *load) change(r *router, s size) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router, l.size, l.refused = r, s, 0
	l.fleet.record.addf("clients send requests of %d and %d tokens to %s", s.prompt, s.output, r.name)
}

// firstID is the ID before that of the first request.
const firstID uint64 = 0x9c41d07be2a30000

// send sends a request each sendInterval until ctx ends.
func (l *load) send(ctx context.Context) {
	client := newClient()
	l.mu.Lock()
	l.events, l.results = make(map[string]int), make(map[int]int)
	l.mu.Unlock()
	for ctx.Err() == nil {
		l.mu.Lock()
		l.sent++
		id, to, s := fmt.Sprintf("%016x", firstID+l.sent), l.router, l.size
		l.mu.Unlock()
		l.calls.Go(func() { l.call(client, to, id, s) })
		time.Sleep(sendInterval)
	}
}

func (l *load) call(client *http.Client, to *router, id string, s size) {
	a := generate(context.Background(), client, to, "report", id, s.prompt, s.output, requestDeadline)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[id] = a.events
	l.results[a.status]++
	if l.refused++; a.status != http.StatusPaymentRequired {
		l.refused = 0
	}
	l.fleet.record.addf("%s sent to %s: status %d, %d events, complete %v", id, to.name, a.status, a.events, a.complete)
}

// exhaustedRow is the number of refusals in a row from which the budget counts as used up.
const exhaustedRow = 40

func (l *load) exhausted(row int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused >= row
}

func (l *load) statuses() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// used returns what counts against the budget: the prompt once for each request that ran, and the
// output that was delivered.
func (l *load) used() int64 {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	total, counted := int64(0), make(map[string]bool)
	for _, r := range l.fleet.runs {
		if !counted[r.request] {
			counted[r.request] = true
			total += r.prompt + int64(l.events[r.request]*stride)
		}
	}
	return total
}
