package attempt_test

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
)

// create makes a request that may arrive later, more than once. Later requests of
// a key never have a lower claim, and attempts with the same claim share its
// deadline.
func (m *machine) create(*rapid.T) {
	number := len(m.requests)
	key := rapid.IntRange(0, 3).Draw(m.t, "key")
	req := &pb.RunRequest{
		Slot:           &pb.Slot{Grant: fmt.Sprint("g", rapid.IntRange(0, 2).Draw(m.t, "grant")), Sequence: uint64(number)},
		Partition:      &pb.Partition{Workspace: "w"},
		Key:            fmt.Sprint("k", key),
		Attempt:        fmt.Sprint("a", number),
		BodyHash:       []byte(fmt.Sprint("b", rapid.IntRange(0, 9).Draw(m.t, "body")/9)),
		Repeatable:     key < 2,
		Credits:        50,
		Priority:       int32(rapid.IntRange(0, 2).Draw(m.t, "priority")),
		DeadlineUnixMs: m.now.Add(rapid.SampledFrom(lifetimes).Draw(m.t, "lifetime")).UnixMilli(),
		Home: &pb.ProcessId{
			Vm:          fmt.Sprint("vm", rapid.IntRange(0, 1).Draw(m.t, "home")),
			Incarnation: uint64(rapid.IntRange(1, 3).Draw(m.t, "incarnation")),
		},
		Isolate: rapid.IntRange(0, 5).Draw(m.t, "isolate") == 0,
		Agent:   &pb.ProcessId{Incarnation: uint64(ownIncarnation - rapid.IntRange(0, 9).Draw(m.t, "process")/9)},
	}
	if !req.GetRepeatable() {
		latest, ok := m.issued[req.GetKey()]
		if !ok || rapid.Bool().Draw(m.t, "newer") {
			m.issued[req.GetKey()] = req
			req.Claim = latest.GetClaim() + 1
		} else {
			req.Claim = latest.GetClaim()
			req.DeadlineUnixMs = latest.GetDeadlineUnixMs()
		}
	}
	m.requests = append(m.requests, req)
}

func (m *machine) arrive(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request exists")
	}
	recent := m.requests[max(0, len(m.requests)-6):]
	req := rapid.SampledFrom(recent).Draw(t, "request")
	id := req.GetAttempt()
	admission := m.registry.Admit(m.now, req)
	switch admission.Decision {
	case attempt.DecisionStart, attempt.DecisionQueue:
		m.accept(req)
		if admission.Decision == attempt.DecisionStart {
			m.begin(id)
		}
	case attempt.DecisionJoin:
		m.checkJoin(req, admission.Attempt)
	case attempt.DecisionRefuse:
		m.checkRefusal(req, admission)
	}
}

func (m *machine) accept(req *pb.RunRequest) {
	id, key := req.GetAttempt(), req.GetKey()
	m.oracle.accepted[id]++
	m.oracle.live[id] = req
	home := req.GetHome()
	switch {
	case m.oracle.accepted[id] > 1:
		m.t.Fatalf("%s was accepted twice", id)
	case m.oracle.cancelled[id]:
		m.t.Fatalf("%s was accepted after it was cancelled", id)
	case m.oracle.fenced[req.GetSlot().GetGrant()]:
		m.t.Fatalf("%s was accepted with a fenced grant", id)
	case home.GetIncarnation() < m.oracle.minimum[home.GetVm()]:
		m.t.Fatalf("%s was accepted from a replaced home", id)
	case m.stopped:
		m.t.Fatalf("%s was accepted while stopping", id)
	case m.now.UnixMilli() >= req.GetDeadlineUnixMs():
		m.t.Fatalf("%s was accepted after its deadline", id)
	case len(m.oracle.live)+len(m.oracle.pending) > receiptLimit:
		m.t.Fatalf("%s was accepted beyond the receipt limit", id)
	}
	if req.GetAgent().GetIncarnation() != ownIncarnation {
		m.t.Fatalf("%s was accepted although it was addressed to another incarnation", id)
	}
	if req.GetRepeatable() {
		return
	}
	if req.GetClaim() < m.oracle.claims[key] || len(m.oracle.ran[key]) > 0 && req.GetClaim() == m.oracle.claims[key] {
		m.t.Fatalf("%s was accepted with claim %d after claim %d", id, req.GetClaim(), m.oracle.claims[key])
	}
	m.oracle.claims[key] = req.GetClaim()
}

func (m *machine) begin(id string) {
	m.oracle.began[id]++
	m.oracle.running[id] = true
	req := m.oracle.live[id]
	if req == nil || m.oracle.began[id] > 1 {
		m.t.Fatalf("%s began %d times", id, m.oracle.began[id])
	}
	if !req.GetRepeatable() {
		m.oracle.ran[req.GetKey()] = append(m.oracle.ran[req.GetKey()], id)
	}
	if len(m.oracle.running) > slots {
		m.t.Fatalf("%d attempts run at once", len(m.oracle.running))
	}
	for other := range m.oracle.running {
		if other != id && (req.GetIsolate() || m.oracle.live[other].GetIsolate()) {
			m.t.Fatalf("%s runs at the same time as %s", id, other)
		}
	}
}

func (m *machine) checkJoin(req *pb.RunRequest, joined string) {
	for _, known := range m.requests {
		if known.GetAttempt() != joined {
			continue
		}
		same := known.GetKey() == req.GetKey() && string(known.GetBodyHash()) == string(req.GetBodyHash())
		if !same || m.oracle.accepted[joined] == 0 {
			m.t.Fatalf("%s joined %s, which is another request", req.GetAttempt(), joined)
		}
		return
	}
	m.t.Fatalf("%s joined %s, which is unknown", req.GetAttempt(), joined)
}

// checkRefusal checks that an attempt refused as not run never began.
func (m *machine) checkRefusal(req *pb.RunRequest, admission attempt.Admission) {
	if admission.Refusal.RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return
	}
	if id := req.GetAttempt(); m.oracle.began[id] > 0 && m.oracle.ended[id] != pb.RunState_RUN_STATE_NOT_RUN {
		if m.now.UnixMilli() < req.GetDeadlineUnixMs() {
			m.t.Fatalf("%s ran and was refused as not run: %v", id, admission.Refusal)
		}
	}
}

func (m *machine) finish(t *rapid.T) {
	ids := sortedKeys(m.oracle.running)
	if len(ids) == 0 {
		t.Skip("no attempt is running")
	}
	id := rapid.SampledFrom(ids).Draw(t, "attempt")
	state := rapid.SampledFrom([]pb.RunState{
		pb.RunState_RUN_STATE_NOT_RUN, pb.RunState_RUN_STATE_PARTIAL,
		pb.RunState_RUN_STATE_COMPLETED, pb.RunState_RUN_STATE_UNKNOWN,
	}).Draw(t, "state")
	credits := rapid.Int64Range(0, 50).Draw(t, "credits")
	receipt := m.registry.Finish(m.now, id, attempt.Outcome{
		RunState: state, Usage: &pb.Usage{Credits: credits}, Length: credits,
	})
	delete(m.oracle.running, id)
	m.end(id, state)
	if state != pb.RunState_RUN_STATE_NOT_RUN {
		m.oracle.pending[id] = proto.CloneOf(receipt)
	}
	m.advance()
}

func (m *machine) end(id string, state pb.RunState) {
	req := m.oracle.live[id]
	delete(m.oracle.live, id)
	m.oracle.ended[id] = state
	if state == pb.RunState_RUN_STATE_NOT_RUN {
		key := req.GetKey()
		m.oracle.ran[key] = slices.DeleteFunc(m.oracle.ran[key], func(other string) bool { return other == id })
	}
}

func (m *machine) advance() {
	start, expired := m.registry.StartQueued(m.now)
	for _, refused := range expired {
		m.endNotStarted(refused.Attempt)
	}
	for _, id := range start {
		m.begin(id)
	}
}

func (m *machine) endNotStarted(id string) {
	if m.oracle.began[id] > 0 {
		m.t.Fatalf("%s ran and was refused as not run", id)
	}
	m.end(id, pb.RunState_RUN_STATE_NOT_RUN)
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request exists")
	}
	id := rapid.SampledFrom(m.requests).Draw(t, "request").GetAttempt()
	_, known := m.oracle.live[id]
	result := m.registry.Cancel(m.now, id)
	if result.RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return
	}
	if m.oracle.running[id] {
		t.Fatalf("%s is running and was reported as not run", id)
	}
	if state, ok := m.oracle.ended[id]; ok && state != pb.RunState_RUN_STATE_NOT_RUN {
		t.Fatalf("%s ran and was reported as not run", id)
	}
	m.oracle.cancelled[id] = true
	if known {
		m.endNotStarted(id)
		m.advance()
	}
}

func (m *machine) fence(t *rapid.T) {
	grant := fmt.Sprint("g", rapid.IntRange(0, 9).Draw(t, "grant"))
	vm := fmt.Sprint("vm", rapid.IntRange(0, 1).Draw(t, "vm"))
	minimum := uint64(rapid.IntRange(0, 2).Draw(t, "minimum"))
	found := m.registry.Fence(m.now, []string{grant}, &pb.ProcessId{Vm: vm, Incarnation: minimum})
	m.oracle.fenced[grant] = true
	m.oracle.minimum[vm] = max(m.oracle.minimum[vm], minimum)
	for _, refused := range found.Refused {
		m.endNotStarted(refused.Attempt)
	}
	want := 0
	for id, receipt := range m.oracle.pending {
		if receipt.GetSlot().GetGrant() == grant {
			want++
			has := slices.ContainsFunc(found.Receipts, func(r *pb.Receipt) bool { return proto.Equal(r, receipt) })
			if !has {
				t.Fatalf("the receipt of %s is missing from the fence result", id)
			}
		}
	}
	if want != len(found.Receipts) {
		t.Fatalf("got %d receipts of grant %s, want %d", len(found.Receipts), grant, want)
	}
	for id := range m.oracle.live {
		if m.oracle.live[id].GetSlot().GetGrant() == grant && !m.oracle.running[id] {
			t.Fatalf("%s is still queued with a fenced grant", id)
		}
	}
	m.advance()
}

func (m *machine) deliver(t *rapid.T) {
	all := rapid.Bool().Draw(t, "all")
	due := m.registry.DueReceipts(m.now, rapid.IntRange(1, receiptLimit).Draw(t, "limit"), all)
	var durable []*pb.Slot
	for _, receipt := range due {
		if !proto.Equal(receipt, m.oracle.pending[receipt.GetAttempt()]) {
			t.Fatalf("due receipt %v, want %v", receipt, m.oracle.pending[receipt.GetAttempt()])
		}
		if receipt.GetSlot().GetSequence()%2 == 0 {
			durable = append(durable, receipt.GetSlot())
			delete(m.oracle.pending, receipt.GetAttempt())
		}
	}
	if dropped := m.registry.DropDurable(durable); dropped != len(durable) {
		t.Fatalf("dropped %d receipts of %d", dropped, len(durable))
	}
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 70, 700, 2000}).Draw(t, "seconds")) * time.Second)
	expired := m.registry.Expire(m.now)
	for _, id := range expired.Attempts {
		if _, pending := m.oracle.pending[id]; pending || m.oracle.live[id] != nil {
			t.Fatalf("the record of %s was dropped too early", id)
		}
	}
	m.advance()
}

func (m *machine) check(t *rapid.T) {
	counts := m.registry.Counts()
	queued := len(m.oracle.live) - len(m.oracle.running)
	if counts.Running != len(m.oracle.running) || counts.Queued != queued || counts.Receipts != len(m.oracle.pending) {
		t.Fatalf("got %+v, want %d running, %d queued, %d receipts",
			counts, len(m.oracle.running), queued, len(m.oracle.pending))
	}
	for key, ran := range m.oracle.ran {
		claims := make(map[uint64]bool)
		for _, id := range ran {
			claim := m.request(id).GetClaim()
			if claims[claim] {
				t.Fatalf("claim %d of key %s ran twice: %v", claim, key, ran)
			}
			claims[claim] = true
		}
	}
}

func (m *machine) request(id string) *pb.RunRequest {
	at := slices.IndexFunc(m.requests, func(req *pb.RunRequest) bool { return req.GetAttempt() == id })
	return m.requests[at]
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
