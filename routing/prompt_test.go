package routing_test

import (
	"fmt"
	"testing"

	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

func prompts(n int) *routing.PromptPicker {
	p := routing.NewPromptPicker("fd")
	var list []routing.PromptEndpoint
	for i := range n {
		list = append(list, routing.PromptEndpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", FailureDomain: "fd"})
	}
	p.SetEndpoints(list)
	return p
}

func chat(conversation, own int) routing.PromptQuery {
	return routing.PromptQuery{Service: "s", PromptTokens: 6000, Parts: []routing.Part{
		{ID: "system", Tokens: 500}, {ID: fmt.Sprint("c", conversation), Tokens: 4500}, {ID: fmt.Sprint("own", own), Tokens: 1000},
	}}
}

// TestSharedPartsAreReadOnceOnly plays the load of the sheets: requests that
// share a long part with others, from several routers that don't know of each
// other. A part should be read at few endpoints.
func TestSharedPartsAreReadOnceOnly(t *testing.T) {
	const routers, conversations, requests = 4, 100, 4000
	var fleet []*routing.PromptPicker
	for range routers {
		fleet = append(fleet, prompts(12))
	}
	at := make(map[int]map[string]bool)
	for i := range requests {
		p, c := fleet[i%routers], (i/7)%conversations
		choice, err := p.Pick(start, chat(c, i))
		if err != nil {
			t.Fatal(err)
		}
		p.Sent(start, choice)
		p.Read(choice)
		p.Finished(choice, true)
		if at[c] == nil {
			at[c] = make(map[string]bool)
		}
		at[c][choice.Endpoint.ID] = true
	}
	read := 0
	for _, endpoints := range at {
		read += len(endpoints)
	}
	if most := conversations * 11 / 10; read > most {
		t.Fatalf("%d shared parts were read %d times, more than %d", conversations, read, most)
	}
}

// TestAHotPartDoesNotPileUpAtOneEndpoint sends requests of one conversation that
// all wait: the work must spread before one endpoint holds ten times its part.
func TestAHotPartDoesNotPileUpAtOneEndpoint(t *testing.T) {
	p := prompts(12)
	sent := make(map[string]int)
	for i := range 600 {
		choice, err := p.Pick(start, chat(1, i))
		if err != nil {
			t.Fatal(err)
		}
		p.Sent(start, choice)
		sent[choice.Endpoint.ID]++
	}
	for id, n := range sent {
		if n > 10*600/12 {
			t.Fatalf("%s got %d of 600 requests", id, n)
		}
	}
}

func TestAnEndpointOutOfReachIsPausedAtOnceAndOneThatBreaksOffLater(t *testing.T) {
	p := prompts(2)
	if pause := p.Failed(start, "e000", true); pause <= 0 {
		t.Fatal("not paused")
	}
	for range 20 {
		choice, err := p.Pick(start, routing.PromptQuery{Service: "s"})
		if err != nil || choice.Endpoint.ID != "e001" {
			t.Fatalf("%+v, %v", choice, err)
		}
	}
	if pause := p.Failed(start, "e001", false); pause != 0 {
		t.Fatalf("paused for %s after one broken answer", pause)
	}
}

func TestPausedEndpointsAreTriedWhenNoneIsLeft(t *testing.T) {
	p := prompts(1)
	p.Failed(start, "e000", true)
	if _, err := p.Pick(start, routing.PromptQuery{Service: "s"}); err != nil {
		t.Fatal(err)
	}
	_, err := p.Pick(start, routing.PromptQuery{Service: "s", Exclude: []string{"e000"}})
	if r := refusal.As(err); r.Cause != refusal.CauseNoEndpoint || r.RetryAfter <= 0 {
		t.Fatalf("%v", err)
	}
}

func TestARestartedEndpointStartsWithoutLoadAndParts(t *testing.T) {
	p := prompts(1)
	choice, _ := p.Pick(start, chat(1, 1))
	p.Sent(start, choice)
	p.SetEndpoints([]routing.PromptEndpoint{{ID: "e000", Service: "s", Incarnation: 2}})
	if view := p.View()[0]; view.Open != 0 || view.Unread != 0 || view.Parts != 0 {
		t.Fatalf("%+v", view)
	}
	p.Finished(choice, false)
	if view := p.View()[0]; view.Open != 0 {
		t.Fatalf("%+v", view)
	}
}

// BenchmarkPickPrompt measures one choice by the number of candidates.
func BenchmarkPickPrompt(b *testing.B) {
	for _, n := range []int{15, 150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := prompts(n)
			b.ReportAllocs()
			for i := range b.N {
				q := chat(i%100, i)
				choice, _ := p.Pick(start, q)
				p.Sent(start, choice)
				p.Finished(choice, false)
			}
		})
	}
}
