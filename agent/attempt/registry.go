// Package attempt is the pure core of the agent: which attempts it has
// accepted, which of them wait, run or have ended, and which receipts it still
// has to keep. It takes events and returns decisions; it does no I/O, starts
// no goroutine and reads no clock.
//
// An attempt is accepted at most once, and a claim at most once: a record of
// either outlives the deadline of every request that could carry it, and a
// request is refused after its deadline.
package attempt

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

const (
	// deadlineMargin is how long records are kept beyond the deadline of their
	// request.
	deadlineMargin = 10 * time.Minute
	// MaxLifetime is the longest time from a request's arrival in the fleet to
	// its deadline. Claims, and cancellations of attempts that have not arrived,
	// are remembered for that long, so that whatever they forbid is past its
	// deadline when they are forgotten.
	MaxLifetime = time.Hour
	// cancelledLimit bounds the cancellations of attempts that have not
	// arrived.
	cancelledLimit = 1 << 16
	// defaultReceiptLimit bounds the receipts kept and the attempts that will
	// leave one.
	defaultReceiptLimit = 1 << 18
	// fullRetryAfter is when a refused request may come back.
	fullRetryAfter = time.Second
)

// Options bound a registry.
type Options struct {
	Endpoint string
	// Incarnation is that of the agent's process.
	Incarnation uint64
	// Slots is the number of attempts that run at once.
	Slots int
	// QueueLimit is the number of attempts that may wait.
	QueueLimit int
	// KeepTime and KeepBytes bound the answers kept after their end.
	KeepTime  time.Duration
	KeepBytes int64
	// ReceiptLimit bounds the receipts kept; 0 means a default.
	ReceiptLimit int
}

// State is where an attempt is.
type State int

// The states of an attempt.
const (
	StateQueued State = iota
	StateRunning
	StateFinished
)

type partition struct {
	workspace string
	index     uint32
}

type keyName struct {
	partition partition
	key       string
}

type slotName struct {
	grant    string
	sequence uint64
}

type record struct {
	receipt    *pb.Receipt
	key        keyName
	home       *pb.ProcessId
	bodyHash   string
	repeatable bool
	claim      uint64
	isolate    bool
	priority   int32
	deadline   time.Time
	state      State
	finished   time.Time
	length     int64
	// answered is set while the bytes of the ended answer are kept.
	answered bool
}

type claimRecord struct {
	highest uint64
	// spent is set when the highest claim ran, or may have run.
	spent   bool
	expires time.Time
}

// Registry holds the attempts of one endpoint. It is not safe for concurrent
// use.
type Registry struct {
	opts      Options
	attempts  map[string]*record
	keys      map[keyName]string
	claims    map[keyName]claimRecord
	cancelled map[string]time.Time
	forgotten forgotten
	receipts  receiptStore
	fences    fences
	queue     []string
	running   int
	// isolated is set while an attempt runs that must run alone.
	isolated bool
	stopping bool
	leaving  bool
	// closed tells whether a model takes no new attempts; nil closes none.
	closed  func(now time.Time, model string) bool
	answers answerStore
}

// New returns an empty registry.
func New(opts Options) *Registry {
	if opts.ReceiptLimit == 0 {
		opts.ReceiptLimit = defaultReceiptLimit
	}
	opts.Slots = max(opts.Slots, 1)
	return &Registry{
		opts:      opts,
		attempts:  make(map[string]*record),
		keys:      make(map[keyName]string),
		claims:    make(map[keyName]claimRecord),
		cancelled: make(map[string]time.Time),
		forgotten: newForgotten(),
		receipts:  newReceiptStore(),
		fences:    newFences(),
	}
}

// Stop makes the registry refuse new attempts.
func (r *Registry) Stop() { r.stopping = true }

// SetLeaving makes the registry refuse new attempts while the endpoint is to
// leave.
func (r *Registry) SetLeaving(leaving bool) { r.leaving = leaving }

// Verdict is the decision on an attempt that arrives.
type Verdict int

// The verdicts.
const (
	// VerdictRefuse: the attempt is not accepted.
	VerdictRefuse Verdict = iota
	// VerdictStart: the attempt is accepted and runs now.
	VerdictStart
	// VerdictWait: the attempt is accepted and waits for a slot.
	VerdictWait
	// VerdictJoin: the request runs already, or ran, as the attempt named.
	VerdictJoin
)

// Admission is the decision on an attempt that arrives.
type Admission struct {
	Verdict Verdict
	// Attempt is the attempt to follow, unless refused.
	Attempt string
	Refusal *refusal.Error
}

func refuse(err *refusal.Error) Admission {
	return Admission{Verdict: VerdictRefuse, Refusal: err}
}

func join(id string) Admission {
	return Admission{Verdict: VerdictJoin, Attempt: id}
}

// Admit decides on an attempt that arrives at now.
func (r *Registry) Admit(now time.Time, req *pb.RunRequest) Admission {
	if known, ok := r.attempts[req.GetAttempt()]; ok {
		if known.bodyHash != string(req.GetBodyHash()) {
			return refuse(refusal.MayHaveRun(refusal.CauseIdempotencyKeyConflict, "the attempt has another body"))
		}
		return join(req.GetAttempt())
	}
	if err := r.checkRequest(now, req); err != nil {
		return refuse(err)
	}
	if admission, decided := r.admitKey(req); decided {
		return admission
	}
	if err := r.checkAgent(req); err != nil {
		return refuse(err)
	}
	if r.closed != nil && r.closed(now, req.GetModel()) {
		return refuse(refusal.NotRun(refusal.CauseNoEndpoint, "the model is being unloaded"))
	}
	if err := r.checkClaim(req); err != nil {
		return refuse(err)
	}
	if err := r.checkRoom(req); err != nil {
		return refuse(err)
	}
	return r.accept(now, req)
}

// SetClosed sets what tells whether a model takes no new attempts.
func (r *Registry) SetClosed(closed func(now time.Time, model string) bool) { r.closed = closed }

func (r *Registry) checkRequest(now time.Time, req *pb.RunRequest) *refusal.Error {
	if _, ok := r.cancelled[req.GetAttempt()]; ok {
		return refusal.NotRun(refusal.CauseCancelled, "cancelled before it arrived")
	}
	malformed := req.GetAttempt() == "" || req.GetSlot().GetGrant() == "" || req.GetDeadlineUnixMs() == 0 ||
		(!req.GetRepeatable() && (req.GetClaim() == 0 || req.GetKey() == ""))
	if malformed {
		return refusal.NotRun(refusal.CauseMalformedRequest, "incomplete attempt")
	}
	if deadlineOf(req).After(now.Add(MaxLifetime + deadlineMargin)) {
		return refusal.NotRun(refusal.CauseMalformedRequest, "the deadline is too far away")
	}
	if !now.Before(deadlineOf(req)) {
		return refusal.NotRun(refusal.CauseDeadlineExceeded, "the deadline has passed")
	}
	return r.fences.check(req)
}

// admitKey decides by what is known of the request's idempotency key.
func (r *Registry) admitKey(req *pb.RunRequest) (Admission, bool) {
	id, ok := r.keys[keyOf(req)]
	if !ok || req.GetKey() == "" {
		return Admission{}, false
	}
	known := r.attempts[id]
	if known.bodyHash != string(req.GetBodyHash()) {
		return refuse(refusal.NotRun(refusal.CauseIdempotencyKeyConflict, "the key has another body")), true
	}
	if known.state != StateFinished {
		return join(id), true
	}
	switch known.receipt.GetRunState() {
	case pb.RunState_RUN_STATE_COMPLETED:
		return join(id), true
	case pb.RunState_RUN_STATE_NOT_RUN:
		return Admission{}, false
	default:
		if known.repeatable {
			return Admission{}, false
		}
		return refuse(refusal.MayHaveRun(refusal.CauseFenced, "the request ran before and may not run again")), true
	}
}

// checkAgent refuses a request that was meant for another process on this VM,
// which may have run it. Its slot was not confirmed for this process either.
func (r *Registry) checkAgent(req *pb.RunRequest) *refusal.Error {
	meant := req.GetAgent().GetIncarnation()
	if meant == 0 || meant == r.opts.Incarnation {
		return nil
	}
	return refusal.MayHaveRun(refusal.CauseFenced, "the attempt was sent to another incarnation of the agent")
}

func (r *Registry) checkClaim(req *pb.RunRequest) *refusal.Error {
	if req.GetRepeatable() {
		return nil
	}
	known, ok := r.claims[keyOf(req)]
	if !ok || req.GetClaim() > known.highest {
		return nil
	}
	if req.GetClaim() == known.highest && !known.spent {
		return nil
	}
	return refusal.MayHaveRun(refusal.CauseFenced, "the claim is spent or a newer one is known")
}

func (r *Registry) checkRoom(req *pb.RunRequest) *refusal.Error {
	if r.stopping {
		return refusal.NotRun(refusal.CauseStopping, "the agent is stopping").WithRetryAfter(fullRetryAfter)
	}
	if r.leaving {
		return refusal.NotRun(refusal.CauseStopping, "the endpoint is leaving").WithRetryAfter(fullRetryAfter)
	}
	if r.receipts.len()+r.running+len(r.queue) >= r.opts.ReceiptLimit {
		return refusal.NotRun(refusal.CauseReceiptsFull, "too many receipts are not durable yet").WithRetryAfter(fullRetryAfter)
	}
	starts := len(r.queue) == 0 && r.fits(&record{isolate: req.GetIsolate()})
	if !starts && len(r.queue) >= r.opts.QueueLimit {
		return refusal.NotRun(refusal.CauseOverloaded, "the endpoint's queue is full").WithRetryAfter(fullRetryAfter)
	}
	return nil
}

func (r *Registry) accept(now time.Time, req *pb.RunRequest) Admission {
	rec := &record{
		receipt: &pb.Receipt{
			Slot:      req.GetSlot(),
			Partition: req.GetPartition(),
			Lot:       req.GetLot(),
			Key:       req.GetKey(),
			Attempt:   req.GetAttempt(),
			Reserved:  req.GetCredits(),
			Endpoint:  r.opts.Endpoint,
		},
		key:        keyOf(req),
		home:       req.GetHome(),
		bodyHash:   string(req.GetBodyHash()),
		repeatable: req.GetRepeatable(),
		claim:      req.GetClaim(),
		isolate:    req.GetIsolate(),
		priority:   req.GetPriority(),
		deadline:   deadlineOf(req),
	}
	id := req.GetAttempt()
	r.attempts[id] = rec
	if req.GetKey() != "" {
		r.keys[rec.key] = id
	}
	if !rec.repeatable {
		r.spendClaim(now, rec)
	}
	if len(r.queue) == 0 && r.fits(rec) {
		r.start(rec)
		return Admission{Verdict: VerdictStart, Attempt: id}
	}
	r.enqueue(id, rec)
	return Admission{Verdict: VerdictWait, Attempt: id}
}

func (r *Registry) spendClaim(now time.Time, rec *record) {
	known := r.claims[rec.key]
	fresh := rec.claim > known.highest || (rec.claim == known.highest && !known.spent)
	invariant.Assert(fresh, "a claim is accepted once", "key", rec.key.key, "claim", rec.claim, "highest", known.highest)
	expires := now.Add(MaxLifetime + deadlineMargin)
	if keep := now.Add(r.opts.KeepTime); keep.After(expires) {
		expires = keep
	}
	if known.expires.After(expires) {
		expires = known.expires
	}
	r.claims[rec.key] = claimRecord{highest: rec.claim, spent: true, expires: expires}
}

// fits reports whether an attempt may start beside those that run.
func (r *Registry) fits(rec *record) bool {
	if r.isolated || r.running >= r.opts.Slots {
		return false
	}
	return !rec.isolate || r.running == 0
}

func (r *Registry) start(rec *record) {
	invariant.Assert(r.fits(rec), "an isolated attempt runs alone", "running", r.running)
	rec.state = StateRunning
	r.running++
	r.isolated = rec.isolate
	invariant.Assert(r.running <= r.opts.Slots, "running attempts fit the slots", "running", r.running)
}

func (r *Registry) enqueue(id string, rec *record) {
	at := len(r.queue)
	for at > 0 && r.attempts[r.queue[at-1]].priority < rec.priority {
		at--
	}
	r.queue = append(r.queue, "")
	copy(r.queue[at+1:], r.queue[at:])
	r.queue[at] = id
}

func deadlineOf(req *pb.RunRequest) time.Time {
	return time.UnixMilli(req.GetDeadlineUnixMs())
}

func partitionOf(p *pb.Partition) partition {
	return partition{workspace: p.GetWorkspace(), index: p.GetIndex()}
}

func keyOf(req *pb.RunRequest) keyName {
	return keyName{partition: partitionOf(req.GetPartition()), key: req.GetKey()}
}

func slotOf(slot *pb.Slot) slotName {
	return slotName{grant: slot.GetGrant(), sequence: slot.GetSequence()}
}
