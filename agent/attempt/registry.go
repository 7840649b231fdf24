// Package attempt holds the agent's state machine for attempts: which attempts
// it has accepted, which of them are queued, running or finished, and which
// receipts are still pending. Its methods take events and return decisions; the
// package does no I/O, starts no goroutine and reads no clock.
//
// An attempt is accepted at most once, and so is a claim: the record of either
// is kept beyond the deadline of every request that could carry it, and a
// request is refused after its deadline.
package attempt

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

const (
	// deadlineMargin is how long records are kept after the deadline of their
	// request.
	deadlineMargin = 10 * time.Minute
	// MaxLifetime is the longest time from a request's arrival in the fleet to
	// its deadline. Claims, and cancellations of attempts that have not arrived,
	// are kept for that long plus deadlineMargin, so that every request they
	// block is past its deadline when they are dropped.
	MaxLifetime = time.Hour
	// earlyCancelLimit bounds the recorded cancellations of attempts that have
	// not arrived.
	earlyCancelLimit = 1 << 16
	// defaultReceiptLimit bounds the pending receipts plus the accepted attempts
	// that will produce one.
	defaultReceiptLimit = 1 << 18
	// refusalRetryAfter is the retry-after delay of refusals for lack of
	// capacity or because the agent stops or the endpoint leaves.
	refusalRetryAfter = time.Second
)

// Options configures a Registry.
type Options struct {
	Endpoint string
	// Incarnation is the incarnation of the agent's process.
	Incarnation uint64
	// Slots is the number of attempts that may run at once; at least 1 is used.
	Slots int
	// QueueLimit is the number of attempts that may be queued.
	QueueLimit int
	// KeepTime and KeepBytes bound the finished responses that are kept.
	KeepTime  time.Duration
	KeepBytes int64
	// ReceiptLimit bounds the pending receipts plus the unfinished attempts; 0
	// means 1 << 18.
	ReceiptLimit int
}

// State is the state of an accepted attempt.
type State int

// States of an attempt.
const (
	StateQueued State = iota
	StateRunning
	StateFinished
)

type partition struct {
	workspace string
	index     uint32
}

type idempotencyKey struct {
	partition partition
	key       string
}

type slotID struct {
	grant    string
	sequence uint64
}

type record struct {
	receipt        *pb.Receipt
	key            idempotencyKey
	home           *pb.ProcessId
	bodyHash       string
	repeatable     bool
	claim          uint64
	isolate        bool
	priority       int32
	deadline       time.Time
	state          State
	finishedAt     time.Time
	responseLength int64
	// responseKept is set while the bytes of the finished response are kept.
	responseKept bool
}

type claimRecord struct {
	highest uint64
	// used is set when the highest claim ran or may have run.
	used      bool
	expiresAt time.Time
}

// Registry holds the attempts of one endpoint. It is not safe for concurrent
// use.
type Registry struct {
	opts Options
	// attempts holds the accepted attempts by their ID.
	attempts map[string]*record
	// keys maps an idempotency key to the last accepted attempt that carries it.
	keys   map[idempotencyKey]string
	claims map[idempotencyKey]claimRecord
	// earlyCancels holds, by attempt ID, when the cancellation of an attempt that
	// has not arrived expires.
	earlyCancels map[string]time.Time
	droppedIDs   droppedIDs
	receipts     receiptStore
	fences       fences
	// queue holds the IDs of queued attempts in the order of their start.
	queue   []string
	running int
	// runningIsolated is set while an attempt runs that must run alone.
	runningIsolated bool
	stopping        bool
	leaving         bool
	// modelClosed reports whether new attempts for a model are refused; nil
	// means that none are.
	modelClosed func(now time.Time, model string) bool
	responses   responseStore
}

// New returns an empty registry.
func New(opts Options) *Registry {
	if opts.ReceiptLimit == 0 {
		opts.ReceiptLimit = defaultReceiptLimit
	}
	opts.Slots = max(opts.Slots, 1)
	return &Registry{
		opts:         opts,
		attempts:     make(map[string]*record),
		keys:         make(map[idempotencyKey]string),
		claims:       make(map[idempotencyKey]claimRecord),
		earlyCancels: make(map[string]time.Time),
		droppedIDs:   newDroppedIDs(),
		receipts:     newReceiptStore(),
		fences:       newFences(),
	}
}

// Stop makes the registry refuse new attempts.
func (r *Registry) Stop() { r.stopping = true }

// SetLeaving sets whether the endpoint is leaving; new attempts are refused
// while it is.
func (r *Registry) SetLeaving(leaving bool) { r.leaving = leaving }

// Decision says what happens to an arriving attempt.
type Decision int

// Decisions on an arriving attempt.
const (
	// The attempt is not accepted.
	DecisionRefuse Decision = iota
	// The attempt is accepted and starts now.
	DecisionStart
	// The attempt is accepted and queued until a slot is free.
	DecisionQueue
	// The request is already running or has run as the attempt named in the
	// Admission.
	DecisionJoin
)

// Admission is the result of Registry.Admit.
type Admission struct {
	Decision Decision
	// Attempt is the ID of the attempt whose response to stream; it is empty if
	// the attempt is refused.
	Attempt string
	Refusal *refusal.Error
}

func refuse(err *refusal.Error) Admission {
	return Admission{Decision: DecisionRefuse, Refusal: err}
}

func join(id string) Admission {
	return Admission{Decision: DecisionJoin, Attempt: id}
}

// Admit decides whether an attempt that arrives at now is accepted. An accepted
// attempt starts or is queued; a request that is already known joins its earlier
// attempt.
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
	if err := r.checkIncarnation(req); err != nil {
		return refuse(err)
	}
	if r.modelClosed != nil && r.modelClosed(now, req.GetModel()) {
		return refuse(refusal.NotRun(refusal.CauseNoEndpoint, "the model is being unloaded"))
	}
	if err := r.checkClaim(req); err != nil {
		return refuse(err)
	}
	if err := r.checkCapacity(req); err != nil {
		return refuse(err)
	}
	return r.accept(now, req)
}

// SetModelClosed sets the function that reports whether new attempts for a model
// are refused.
func (r *Registry) SetModelClosed(modelClosed func(now time.Time, model string) bool) {
	r.modelClosed = modelClosed
}

func (r *Registry) checkRequest(now time.Time, req *pb.RunRequest) *refusal.Error {
	if _, ok := r.earlyCancels[req.GetAttempt()]; ok {
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

// admitKey decides by the last attempt with the request's idempotency key, and
// reports whether it reached a decision.
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

// checkIncarnation refuses a request that was addressed to another incarnation
// of the agent on this VM. That incarnation may have run it, and the request's
// slot was not confirmed for this one.
func (r *Registry) checkIncarnation(req *pb.RunRequest) *refusal.Error {
	target := req.GetAgent().GetIncarnation()
	if target == 0 || target == r.opts.Incarnation {
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
	if req.GetClaim() == known.highest && !known.used {
		return nil
	}
	return refusal.MayHaveRun(refusal.CauseFenced, "the claim is spent or a newer one is known")
}

func (r *Registry) checkCapacity(req *pb.RunRequest) *refusal.Error {
	if r.stopping {
		return refusal.NotRun(refusal.CauseStopping, "the agent is stopping").WithRetryAfter(refusalRetryAfter)
	}
	if r.leaving {
		return refusal.NotRun(refusal.CauseStopping, "the endpoint is leaving").WithRetryAfter(refusalRetryAfter)
	}
	if r.receipts.len()+r.running+len(r.queue) >= r.opts.ReceiptLimit {
		return refusal.NotRun(refusal.CauseReceiptsFull, "too many receipts are not durable yet").WithRetryAfter(refusalRetryAfter)
	}
	startsNow := len(r.queue) == 0 && r.canStart(&record{isolate: req.GetIsolate()})
	if !startsNow && len(r.queue) >= r.opts.QueueLimit {
		return refusal.NotRun(refusal.CauseOverloaded, "the endpoint's queue is full").WithRetryAfter(refusalRetryAfter)
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
		r.useClaim(now, rec)
	}
	if len(r.queue) == 0 && r.canStart(rec) {
		r.start(rec)
		return Admission{Decision: DecisionStart, Attempt: id}
	}
	r.enqueue(id, rec)
	return Admission{Decision: DecisionQueue, Attempt: id}
}

func (r *Registry) useClaim(now time.Time, rec *record) {
	known := r.claims[rec.key]
	unused := rec.claim > known.highest || (rec.claim == known.highest && !known.used)
	invariant.Assert(unused, "a claim is accepted once", "key", rec.key.key, "claim", rec.claim, "highest", known.highest)
	expiresAt := now.Add(MaxLifetime + deadlineMargin)
	if keptUntil := now.Add(r.opts.KeepTime); keptUntil.After(expiresAt) {
		expiresAt = keptUntil
	}
	if known.expiresAt.After(expiresAt) {
		expiresAt = known.expiresAt
	}
	r.claims[rec.key] = claimRecord{highest: rec.claim, used: true, expiresAt: expiresAt}
}

// canStart reports whether an attempt may start next to the running ones.
func (r *Registry) canStart(rec *record) bool {
	if r.runningIsolated || r.running >= r.opts.Slots {
		return false
	}
	return !rec.isolate || r.running == 0
}

func (r *Registry) start(rec *record) {
	invariant.Assert(r.canStart(rec), "an isolated attempt runs alone", "running", r.running)
	rec.state = StateRunning
	r.running++
	r.runningIsolated = rec.isolate
	invariant.Assert(r.running <= r.opts.Slots, "running attempts fit the slots", "running", r.running)
}

// enqueue queues an attempt behind those of the same or a higher priority.
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

func keyOf(req *pb.RunRequest) idempotencyKey {
	return idempotencyKey{partition: partitionOf(req.GetPartition()), key: req.GetKey()}
}

func slotIDOf(slot *pb.Slot) slotID {
	return slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()}
}
