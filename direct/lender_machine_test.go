package direct

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/prepaid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// countingGrants is a grant without a limit that counts what is reserved and spent.
type countingGrants struct{ reserved, spent int64 }

func (c *countingGrants) TryReserve(_ string, tokens int64) prepaid.ReserveResult {
	c.reserved += tokens
	return prepaid.Reserved
}

func (c *countingGrants) Reserve(_ context.Context, workspace string, tokens int64, _ time.Duration) prepaid.ReserveResult {
	return c.TryReserve(workspace, tokens)
}

func (c *countingGrants) Settle(_ string, reserved, used int64) {
	c.reserved -= reserved
	c.spent += used
}

// lentCall is a call on its way to the holder: a settlement if settles is set.
type lentCall struct {
	key     lentKey
	tokens  int64
	settles bool
}

// lentRequest is a request of the asking router that has reserved credit.
type lentRequest struct {
	key    lentKey
	tokens int64
}

// lentWorld is a router that asks a holder for credit over a network that loses, delays,
// repeats and reorders calls.
type lentWorld struct {
	grants countingGrants
	lender *lender
	asking prepaid.ProcessID
	lastID uint64
	calls  []lentCall
	// open are the requests that hold a reservation. used is what ended requests used,
	// and what those of killed processes may have used.
	open []lentRequest
	used int64
	// unsettled are the settlements that were not acknowledged.
	unsettled map[lentKey]int64
}

// ask sends a reservation. The answer arrives, or the call times out: it may be delivered
// later, and the router settles it unused.
func (w *lentWorld) ask(t *rapid.T) {
	w.lastID++
	call := lentCall{key: lentKey{from: w.asking, id: w.lastID}, tokens: rapid.Int64Range(1, 100).Draw(t, "tokens")}
	switch rapid.IntRange(0, 3).Draw(t, "answer") {
	case 0:
		w.calls = append(w.calls, call)
		w.unsettled[call.key] = 0
	case 1:
		w.deliver(call)
		w.unsettled[call.key] = 0
	default:
		if w.deliver(call) == prepaid.Reserved {
			w.open = append(w.open, lentRequest{key: call.key, tokens: call.tokens})
		}
		if rapid.Bool().Draw(t, "repeated") {
			w.calls = append(w.calls, call)
		}
	}
}

func (w *lentWorld) deliver(call lentCall) prepaid.ReserveResult {
	if call.settles {
		w.lender.settle(call.key, call.tokens)
		return prepaid.Short
	}
	return w.lender.reserve(context.Background(), call.key, lentReservation{workspace: "w", tokens: call.tokens}, 0)
}

// end ends the oldest open request.
func (w *lentWorld) end(t *rapid.T) {
	if len(w.open) == 0 {
		return
	}
	r := w.open[0]
	w.open = w.open[1:]
	used := rapid.Int64Range(0, r.tokens).Draw(t, "used")
	w.used += used
	w.unsettled[r.key] = used
}

// settle sends what isn't acknowledged. The answer may be lost, and the call be delivered
// later or again.
func (w *lentWorld) settle(t *rapid.T) {
	for key, used := range w.unsettled {
		call := lentCall{key: key, tokens: used, settles: true}
		switch rapid.IntRange(0, 2).Draw(t, "answer") {
		case 0:
			w.calls = append(w.calls, call)
		case 1:
			w.deliver(call)
		default:
			w.deliver(call)
			delete(w.unsettled, key)
		}
	}
}

// kill replaces the asking process. Its requests may have used all that they reserved.
func (w *lentWorld) kill(t *rapid.T) {
	for _, r := range w.open {
		w.used += r.tokens
	}
	w.open, w.unsettled = nil, make(map[lentKey]int64)
	last := w.asking
	w.asking.Incarnation++
	w.lender.processEnded(last)
	w.check(t)
}

// land delivers a delayed call.
func (w *lentWorld) land(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	call := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	w.deliver(call)
}

// check checks that the holder counts at least what requests use or may still use.
func (w *lentWorld) check(t *rapid.T) {
	may := w.used
	for _, r := range w.open {
		may += r.tokens
	}
	if counted := w.grants.reserved + w.grants.spent; counted < may {
		t.Fatalf("requests may use %d tokens, but the holder counts %d", may, counted)
	}
}

// TestProofLentCreditCountsUntilItIsSettled plays reservations at another router over a
// network that loses, delays, repeats and reorders calls, and kills the asking router. It
// guards against credit that two requests spend, and against reservations that stay open
// once everything is delivered.
func TestProofLentCreditCountsUntilItIsSettled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &lentWorld{asking: prepaid.ProcessID{VM: "a", Incarnation: 1}, unsettled: make(map[lentKey]int64)}
		w.lender = newLender(&w.grants, slog.New(slog.DiscardHandler))
		t.Repeat(map[string]func(*rapid.T){
			"ask": w.ask, "ask2": w.ask, "end": w.end, "settle": w.settle, "kill": w.kill, "land": w.land, "land2": w.land,
			"": w.check,
		})
		for len(w.open) > 0 {
			w.end(t)
		}
		for len(w.calls) > 0 {
			w.land(t)
		}
		for key, used := range w.unsettled {
			w.lender.settle(key, used)
		}
		w.check(t)
		if w.grants.reserved != 0 || w.lender.count() != 0 {
			t.Fatalf("%d tokens stay reserved", w.grants.reserved)
		}
	})
}
