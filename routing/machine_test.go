package routing_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

const (
	endpointCount = 5
	staleAfter    = 10 * time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// endpointModel is what the reference model knows of an endpoint.
type endpointModel struct {
	registered        bool
	reportedAt        time.Time
	incarnation       uint64
	sequence          uint64
	models            []string
	leavingByAgent    bool
	leavingByRegister bool
	inFlight          int
}

// pickerModel is the reference model that the picker is compared with.
type pickerModel struct {
	picker    *routing.Picker
	now       time.Time
	endpoints map[string]*endpointModel
}

func newPickerModel() *pickerModel {
	m := &pickerModel{now: start, endpoints: make(map[string]*endpointModel)}
	m.picker = routing.New(routing.Options{
		Seed: 1, FailureDomain: "fd", Region: "r", StaleAfter: staleAfter,
		Rules: config.RoutingRules{SlowStartSeconds: 5},
	})
	for i := range endpointCount {
		m.endpoints[fmt.Sprint("e", i)] = &endpointModel{registered: true}
	}
	m.setEndpoints()
	return m
}

func drawEndpoint(t *rapid.T) string {
	return fmt.Sprint("e", rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint"))
}

func (m *pickerModel) setEndpoints() {
	var registered []routing.RegisteredEndpoint
	for i := range endpointCount {
		id := fmt.Sprint("e", i)
		if e := m.endpoints[id]; e.registered {
			registered = append(registered, routing.RegisteredEndpoint{ID: id, Leaving: e.leavingByRegister})
		}
	}
	m.picker.SetEndpoints(registered)
}

// register adds or removes an endpoint, or changes whether it is leaving.
func (m *pickerModel) register(t *rapid.T) {
	e := m.endpoints[drawEndpoint(t)]
	if rapid.Bool().Draw(t, "leaving") {
		e.leavingByRegister = !e.leavingByRegister
	} else {
		*e = endpointModel{registered: !e.registered}
	}
	m.setEndpoints()
}

// report sends a report, sometimes with an old sequence or incarnation.
func (m *pickerModel) report(t *rapid.T) {
	id := drawEndpoint(t)
	e := m.endpoints[id]
	r := report(id, rapid.IntRange(0, 12).Draw(t, "running"))
	r.Incarnation = e.incarnation + uint64(rapid.IntRange(0, 2).Draw(t, "incarnation"))
	r.Incarnation = max(r.Incarnation, 2) - 1
	r.Load.Sequence = uint64(rapid.IntRange(0, 20).Draw(t, "sequence"))
	r.Load.Age = time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond
	r.Load.Models = rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, "models")
	r.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	r.Region = rapid.SampledFrom([]string{"r", "r2"}).Draw(t, "region")
	r.Load.Prefixes = []routing.PrefixEvent{{
		Hash:     rapid.Uint64Range(1, 5).Draw(t, "hash"),
		Evicted:  rapid.Bool().Draw(t, "evicted"),
		Sequence: rapid.Uint64Range(1, 30).Draw(t, "event"),
	}}
	m.picker.RecordReport(m.now, r)
	first := e.reportedAt.IsZero()
	newer := r.Incarnation > e.incarnation || r.Incarnation == e.incarnation && r.Load.Sequence >= e.sequence
	if !e.registered || !first && !newer {
		return
	}
	e.reportedAt = m.now
	e.incarnation, e.sequence = r.Incarnation, r.Load.Sequence
	e.models, e.leavingByAgent = r.Load.Models, r.Leaving
}

// usable reports whether an endpoint may be chosen, whether or not it is ejected.
func (m *pickerModel) usable(id string, q routing.Query) bool {
	e := m.endpoints[id]
	if !e.registered || e.reportedAt.IsZero() || e.leavingByAgent || e.leavingByRegister {
		return false
	}
	fresh := m.now.Sub(e.reportedAt) <= staleAfter
	serves := q.Model == "" || len(e.models) == 0 || slices.Contains(e.models, q.Model)
	return fresh && serves && !slices.Contains(q.Exclude, id)
}

func (m *pickerModel) pick(t *rapid.T) {
	q := routing.Query{
		Service:    "s",
		Model:      rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "model"),
		PrefixHash: rapid.Uint64Range(0, 5).Draw(t, "prefix"),
	}
	if rapid.Bool().Draw(t, "exclude") {
		q.Exclude = []string{drawEndpoint(t)}
	}
	usable := 0
	for id := range m.endpoints {
		if m.usable(id, q) {
			usable++
		}
	}
	choice, err := m.picker.Pick(m.now, q)
	var rerr *refusal.Error
	if errors.As(err, &rerr) {
		if usable > 0 || rerr.Cause != refusal.CauseNoEndpoint || rerr.RetryAfter <= 0 {
			t.Fatalf("got refusal %v with %d usable endpoints", err, usable)
		}
		return
	}
	if !m.usable(choice.Endpoint, q) || choice.Wait < 0 {
		t.Fatalf("chose %+v, which is not usable or has a negative wait", choice)
	}
	m.picker.Started(m.now, choice.Endpoint, 1)
	m.endpoints[choice.Endpoint].inFlight++
}

func (m *pickerModel) end(t *rapid.T) {
	id := drawEndpoint(t)
	e := m.endpoints[id]
	if e.inFlight == 0 {
		return
	}
	e.inFlight--
	kinds := []routing.OutcomeKind{
		routing.OutcomeNeutral, routing.OutcomeOK, routing.OutcomeFailed, routing.OutcomeFailed, routing.OutcomeRefused,
	}
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	m.picker.Ended(m.now, id, routing.Outcome{Kind: kind, Duration: time.Second})
}

// checkFree fails if more slots are reported free than the usable endpoints have or
// already run.
func (m *pickerModel) checkFree(t *rapid.T) {
	free := m.picker.FreeSlots(m.now, "s", "")
	most := 0
	for id, e := range m.endpoints {
		if m.usable(id, routing.Query{}) {
			most += max(4, e.inFlight)
		}
	}
	if free < 0 || free > most {
		t.Fatalf("%d slots are reported free, at most %d are possible", free, most)
	}
}

// TestProofPickTakesOnlyUsableEndpoints guards against choosing an endpoint that is
// removed, leaving, stale, excluded or doesn't serve the model, and against refusing
// while a usable one exists. Reports arrive late, repeated and out of order.
func TestProofPickTakesOnlyUsableEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPickerModel()
		t.Repeat(map[string]func(*rapid.T){
			"register":   m.register,
			"report":     m.report,
			"reportMore": m.report,
			"pick":       m.pick,
			"pickMore":   m.pick,
			"end":        m.end,
			"endMore":    m.end,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.checkFree,
		})
	})
}

// When the cause of failures lies outside the endpoints, all of them seem to fail.
// Ejecting all would leave none for the requests.
func TestAtMostHalfOfTheEndpointsAreEjected(t *testing.T) {
	p := newPicker()
	const n = 7
	for i := range n {
		p.RecordReport(start, report(fmt.Sprint("e", i), 0))
	}
	for range 20 {
		for i := range n {
			id := fmt.Sprint("e", i)
			p.Started(start, id, 1)
			p.Ended(start, id, routing.Outcome{Kind: routing.OutcomeFailed})
		}
	}
	picked := make(map[string]bool)
	for range 400 {
		choice, err := p.Pick(start, routing.Query{Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		picked[choice.Endpoint] = true
	}
	if len(picked) != n-n/2 {
		t.Fatalf("%d of %d endpoints are still chosen after all of them failed", len(picked), n)
	}
}

func TestRetryBudgetLimitsRetriesToItsShare(t *testing.T) {
	b := routing.NewRetryBudget(config.RoutingRules{RetryBudget: 0.1})
	retries := 0
	for range 10_000 {
		b.RecordRequest()
		if b.TakeRetry() {
			retries++
		}
	}
	if retries < 990 || retries > 1020 {
		t.Fatalf("%d retries were allowed for 10000 requests, want 990 to 1020", retries)
	}
}

// BenchmarkPick measures one choice by the number of endpoints.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPicker()
			for i := range n {
				p.RecordReport(start, report(fmt.Sprint("e", i), i%8))
			}
			b.ReportAllocs()
			hash := uint64(0)
			for b.Loop() {
				hash = hash%64 + 1
				_, _ = p.Pick(start, routing.Query{Service: "s", PrefixHash: hash})
			}
		})
	}
}
