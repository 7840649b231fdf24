package relay

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

// model feeds an assembler with chunks of the responses of several attempts, in any
// order, any number of times, of any size and sometimes corrupted.
type model struct {
	responses map[string][]byte
	assembler *Assembler
	delivered []byte
	// corrupted is set when a corrupted chunk of the current attempt arrived.
	corrupted bool
	restarts  int
	// arrived holds the offsets of the current attempt's bytes that arrived.
	arrived map[int]bool
}

var attempts = []string{"a1", "a2", "a3"}

func newModel(t *rapid.T) *model {
	m := &model{responses: make(map[string][]byte), assembler: New(attempts[0]), arrived: make(map[int]bool)}
	for _, id := range attempts {
		m.responses[id] = rapid.SliceOfN(rapid.Byte(), 0, 24).Draw(t, id)
	}
	return m
}

// check runs after each event. It fails the test unless the delivered bytes are a
// prefix of the attempt's own response, and equal to it once the response is
// complete.
func (m *model) check(t *rapid.T) {
	response := m.responses[m.assembler.Attempt()]
	if !m.corrupted && !bytes.HasPrefix(response, m.delivered) {
		t.Fatalf("delivered %x of response %x", m.delivered, response)
	}
	if m.assembler.State() == StateComplete && !bytes.Equal(response, m.delivered) {
		t.Fatalf("state is complete with %x delivered of response %x", m.delivered, response)
	}
	if int64(len(m.delivered)) != m.assembler.Offset() {
		t.Fatalf("offset is %d after %d delivered bytes", m.assembler.Offset(), len(m.delivered))
	}
	if m.assembler.State() == StateOpen && m.arrived[len(m.delivered)] {
		t.Fatalf("byte %d arrived but was not delivered", len(m.delivered))
	}
	if m.assembler.State() == StateFailed && !m.corrupted {
		t.Fatal("a response without corrupted chunks failed")
	}
}

// chunk delivers a random part of the response of a random attempt, with a small
// chance of a corrupted byte.
func (m *model) chunk(t *rapid.T) {
	id := rapid.SampledFrom(attempts).Draw(t, "attempt")
	response := m.responses[id]
	from := rapid.IntRange(0, len(response)).Draw(t, "from")
	to := rapid.IntRange(from, len(response)).Draw(t, "to")
	data := bytes.Clone(response[from:to])
	if len(data) > 0 && rapid.IntRange(0, 30).Draw(t, "damage") == 0 {
		data[0] ^= 1
		m.corrupted = m.corrupted || id == m.assembler.Attempt()
	}
	for i := from; i < to && id == m.assembler.Attempt(); i++ {
		m.arrived[i] = true
	}
	out, _ := m.assembler.AddChunk(id, int64(from), data)
	for _, part := range out {
		m.delivered = append(m.delivered, part...)
	}
}

// end announces the end of the response of a random attempt.
func (m *model) end(t *rapid.T) {
	id := rapid.SampledFrom(attempts).Draw(t, "attempt")
	response := m.responses[id]
	_ = m.assembler.SetEnd(id, int64(len(response)), xxh3.Hash(response))
}

// breakStream breaks the stream and checks the decision.
func (m *model) breakStream(t *rapid.T) {
	b := StreamBreak{
		Reattaches:    rapid.IntRange(0, 3).Draw(t, "attaches"),
		MaxReattaches: 2,
		AttemptGone:   rapid.Bool().Draw(t, "gone"),
	}
	if m.restarts < len(attempts)-1 && rapid.Bool().Draw(t, "next") {
		b.NextAttempt = attempts[m.restarts+1]
	}
	if rapid.Bool().Draw(t, "refused") {
		b.Refusal = refusal.NotRun(refusal.CauseOverloaded, "queue full")
	}
	decision := m.assembler.Decide(b)
	switch decision.Action {
	case ActionAttach:
		if decision.Offset != int64(len(m.delivered)) {
			t.Fatalf("decided to attach at byte %d after %d delivered bytes", decision.Offset, len(m.delivered))
		}
	case ActionRestart:
		if len(m.delivered) > 0 || !m.assembler.Restart(b.NextAttempt) {
			t.Fatalf("decided to restart after %d delivered bytes", len(m.delivered))
		}
		m.restarts++
		m.corrupted = false
		clear(m.arrived)
	case ActionFail:
		if len(m.delivered) > 0 && decision.Failure.RunState == pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatal("failure says not run although bytes were delivered")
		}
	default:
		if m.assembler.State() != StateComplete {
			t.Fatal("decided to do nothing for a response that is not complete")
		}
	}
}

// finish delivers the missing bytes and the end, after which a response without
// corrupted chunks must be complete.
func (m *model) finish(t *rapid.T) {
	id := m.assembler.Attempt()
	response := m.responses[id]
	offset := m.assembler.Offset()
	out, _ := m.assembler.AddChunk(id, offset, response[offset:])
	for _, part := range out {
		m.delivered = append(m.delivered, part...)
	}
	_ = m.assembler.SetEnd(id, int64(len(response)), xxh3.Hash(response))
	if !m.corrupted && m.assembler.State() != StateComplete {
		t.Fatalf("response is not complete after every byte arrived: %x of %x delivered", m.delivered, response)
	}
	m.check(t)
}

// TestProofWholeOwnResponseInAssembly drives an assembler with chunks, ends and stream
// breaks of several attempts. It guards against mixed responses, wrong bytes and
// responses that are reported complete too early or never.
func TestProofWholeOwnResponseInAssembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"chunk": m.chunk,
			"end":   m.end,
			"break": m.breakStream,
			"":      m.check,
		})
		m.finish(t)
	})
}

// TestChunksAheadOfAGapAreBounded guards against unbounded memory use when the first
// byte of a response is missing and later chunks keep arriving.
func TestChunksAheadOfAGapAreBounded(t *testing.T) {
	a := New("a")
	var err error
	for i := int64(0); err == nil && i < 3; i++ {
		_, err = a.AddChunk("a", 1+i*MaxPendingBytes/2, make([]byte, MaxPendingBytes/2))
	}
	var failure *Error
	if !errors.As(err, &failure) || failure.Failure != FailurePending {
		t.Fatalf("state is %v and the error is %v, want FailurePending", a.State(), err)
	}
}
