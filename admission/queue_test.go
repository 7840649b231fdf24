package admission_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id, workspace string, priority int) admission.Request {
	return admission.Request{
		ID: id, Workspace: workspace, Service: "s", Priority: priority,
		Deadline: start.Add(time.Minute), Tokens: 1,
	}
}

func TestQueueServesHigherPriorityFirst(t *testing.T) {
	q := admission.New(admission.Options{})
	q.SetCapacity(admission.PoolID{Service: "s"}, admission.Capacity{Slots: 1})
	if d := q.Offer(start, request("a", "w", 0)); d.Decision != admission.Admitted {
		t.Fatalf("got %+v, want request a admitted", d)
	}
	for _, r := range []admission.Request{request("b", "w", 0), request("c", "v", 1)} {
		if d := q.Offer(start, r); d.Decision != admission.Queued {
			t.Fatalf("got %+v, want the request queued", d)
		}
	}
	q.Done(start, "a", 1)
	if r, ok := q.Next(start); !ok || r.ID != "c" {
		t.Fatalf("got %+v, %v; want request c, which has the higher priority", r, ok)
	}
}

// TestRequestWhoseDeadlineHasPassedIsRefused guards against starting such a request when
// there is free capacity.
func TestRequestWhoseDeadlineHasPassedIsRefused(t *testing.T) {
	for slots := range 2 {
		q := admission.New(admission.Options{})
		q.SetCapacity(admission.PoolID{Service: "s"}, admission.Capacity{Slots: slots})
		r := request("a", "w", 0)
		if d := q.Offer(r.Deadline, r); d.Decision != admission.Refused || d.Refusal.Cause != refusal.CauseDeadlineExceeded {
			t.Errorf("%d slots: got %+v, want a refusal with cause deadline_exceeded", slots, d)
		}
	}
}

// A retry-after delay that is too short makes a caller that honours it get refused
// again and again.
func TestRateLimitRefusalHasUsableRetryAfter(t *testing.T) {
	q := admission.New(admission.Options{})
	q.SetCapacity(admission.PoolID{Service: "s"}, admission.Capacity{Slots: 9})
	q.SetLimits(start, []config.Limit{{Workspace: "w", RequestsPerSecond: 2}})
	now := start
	admitted := 0
	for range 20 {
		d := q.Offer(now, request(now.String(), "w", 0))
		if d.Decision == admission.Admitted {
			admitted++
			q.Done(now, now.String(), 1)
			now = now.Add(time.Nanosecond)
			continue
		}
		if d.Refusal.Cause != refusal.CauseRateLimited || d.Refusal.RetryAfter <= 0 {
			t.Fatalf("got %+v, want a rate limit refusal with a retry-after delay", d.Refusal)
		}
		now = now.Add(d.Refusal.RetryAfter)
	}
	if admitted < 10 {
		t.Fatalf("%d of 20 offers were admitted after waiting for the retry-after delay, want at least 10", admitted)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// BenchmarkQueue measures one offer, end and start, by the number of waiting
// requests.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 150, 1500, 15000} {
		b.Run(strconv.Itoa(waiting), func(b *testing.B) {
			q := admission.New(admission.Options{Policy: admission.Policy{NoEarlyRefusal: true}})
			q.SetCapacity(admission.PoolID{Service: "s"}, admission.Capacity{Slots: 1})
			for i := range waiting + 1 {
				q.Offer(start, request(strconv.Itoa(i), "w"+strconv.Itoa(i%1500), i%2))
			}
			running := "0"
			i := waiting + 1
			b.ReportAllocs()
			for b.Loop() {
				q.Offer(start, request(strconv.Itoa(i), "w"+strconv.Itoa(i%1500), i%2))
				q.Done(start, running, 1)
				next, _ := q.Next(start)
				running = next.ID
				i++
			}
		})
	}
}
