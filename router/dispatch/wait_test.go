package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// busyHome refuses by concurrency so many times, then by rate.
type busyHome struct {
	t        *testing.T
	admitter *countingAdmitter
	busy     int
	asked    int
}

// busyHomes finds a busyHome.
type busyHomes struct{ home *busyHome }

func (h busyHomes) Home(*pb.Partition) (Home, bool) { return h.home, true }

func (h *busyHome) Dispatch(context.Context, *pb.DispatchRequest) (*pb.DispatchResponse, error) {
	return &pb.DispatchResponse{}, nil
}

func (h *busyHome) Finish(context.Context, *pb.FinishRequest) (*pb.FinishResponse, error) {
	return &pb.FinishResponse{}, nil
}

func (h *busyHome) Reserve(context.Context, *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	if h.admitter.held != 1 {
		h.t.Errorf("asked with %d places held", h.admitter.held)
	}
	h.asked++
	cause := refusal.CauseRateLimited
	if h.asked <= h.busy {
		cause = refusal.CauseConcurrencyLimited
	}
	refused := refusal.NotRun(cause, "busy").WithRetryAfter(time.Second).ToProto()
	return &pb.ReserveResponse{Result: &pb.ReserveResponse_Refusal{Refusal: refused}}, nil
}

// countingAdmitter lets everything in and measures how long places are held.
type countingAdmitter struct {
	Admitter
	held  int
	since time.Time
	total time.Duration
	ran   int
}

func (a *countingAdmitter) Admit(context.Context, *Request) (func(int64), error) {
	a.held++
	a.since = time.Now()
	return func(used int64) {
		if used != NotReserved {
			a.ran++
		}
		a.held--
		a.total += time.Since(a.since)
	}, nil
}

// TestConcurrencyLimitedRequestWaits covers a place that comes free in time and
// one that does not.
func TestConcurrencyLimitedRequestWaits(t *testing.T) {
	for busy, want := range map[int]refusal.Cause{3: refusal.CauseRateLimited, 1000: refusal.CauseConcurrencyLimited} {
		synctest.Test(t, func(t *testing.T) {
			admitter := &countingAdmitter{}
			home := &busyHome{t: t, admitter: admitter, busy: busy}
			d := New(Options{Homes: busyHomes{home}, Admitter: admitter, Logger: slog.New(slog.DiscardHandler)})
			start := time.Now()
			req := &Request{QueueDeadline: start.Add(5 * time.Second), Deadline: start.Add(time.Minute)}
			err := refusal.FromError(d.Do(t.Context(), req, nil))
			if err.Cause != want || err.RunState != pb.RunState_RUN_STATE_NOT_RUN {
				t.Errorf("refused with %v", err)
			}
			if busy == 3 && home.asked != 4 {
				t.Errorf("asked %d times", home.asked)
			}
			if took := time.Since(start); took > 5*time.Second || (busy == 1000 && took < 4*time.Second) {
				t.Errorf("waited %v of 5 s", took)
			}
			if admitter.held != 0 || admitter.total != 0 || admitter.ran != 0 {
				t.Errorf("%d places held at the end, for %v while it waited", admitter.held, admitter.total)
			}
		})
	}
}
