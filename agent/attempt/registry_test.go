package attempt_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	slots          = 2
	queueLimit     = 3
	receiptLimit   = 4
	keepTime       = time.Minute
	keepBytes      = 100
	ownIncarnation = 3
)

// oracle records everything that happened, without bound, as the reference for
// the registry.
type oracle struct {
	// accepted counts how often each attempt was accepted, began how often it
	// started.
	accepted map[string]int
	began    map[string]int
	live     map[string]*pb.RunRequest
	running  map[string]bool
	ended    map[string]pb.RunState
	// ran lists, by key, the non-repeatable attempts that ran.
	ran map[string][]string
	// claims holds the highest claim accepted for each key.
	claims    map[string]uint64
	cancelled map[string]bool
	// fenced holds the fenced grants, and minimum the lowest home incarnation
	// accepted from each VM.
	fenced  map[string]bool
	minimum map[string]uint64
	// pending holds the receipts that are not durable yet.
	pending map[string]*pb.Receipt
}

// machine drives a registry with random events and compares it with the oracle.
type machine struct {
	t        *rapid.T
	registry *attempt.Registry
	now      time.Time
	oracle   oracle
	requests []*pb.RunRequest
	// issued holds the first request with the newest claim of each key.
	issued  map[string]*pb.RunRequest
	stopped bool
}

var lifetimes = []time.Duration{time.Second, 20 * time.Second, 5 * time.Minute, attempt.MaxLifetime}

func newMachine(t *rapid.T) *machine {
	return &machine{
		t:      t,
		issued: make(map[string]*pb.RunRequest),
		now:    time.Unix(1_800_000_000, 0),
		registry: attempt.New(attempt.Options{
			Endpoint:     "endpoint",
			Incarnation:  ownIncarnation,
			Slots:        slots,
			QueueLimit:   queueLimit,
			KeepTime:     keepTime,
			KeepBytes:    keepBytes,
			ReceiptLimit: receiptLimit,
		}),
		oracle: oracle{
			accepted:  make(map[string]int),
			began:     make(map[string]int),
			live:      make(map[string]*pb.RunRequest),
			running:   make(map[string]bool),
			ended:     make(map[string]pb.RunState),
			ran:       make(map[string][]string),
			claims:    make(map[string]uint64),
			cancelled: make(map[string]bool),
			fenced:    make(map[string]bool),
			minimum:   make(map[string]uint64),
			pending:   make(map[string]*pb.Receipt),
		},
	}
}

// Guards against accepting an attempt or a claim twice, reporting an attempt that
// ran as not run, and losing receipts, under random arrivals, cancellations,
// fences and expiry.
func TestProofAttemptsAreAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":  m.create,
			"arrive":  m.arrive,
			"arrive2": m.arrive,
			"finish":  m.finish,
			"cancel":  m.cancel,
			"fence":   m.fence,
			"deliver": m.deliver,
			"wait":    m.wait,
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "really") == 0 {
					m.stopped = true
					m.registry.Stop()
				}
			},
			"": m.check,
		})
	})
}
