package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// crashAt records a crash of an endpoint with these suspects.
func crashAt(p *Parts, endpoint string, atMS int64, parts ...string) {
	p.Crashed(Crash{Endpoint: endpoint, AtMS: atMS, Suspects: p.Suspects(parts)})
}

func quarantined(p *Parts, nowMS int64, parts ...string) bool {
	return p.Check(nowMS, parts, none).Quarantined()
}

func TestPartsOfTheSameRequestsAreRefusedOnlyTogether(t *testing.T) {
	p := New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "shared", "doc", "deadly")
	}
	if !quarantined(p, 4000, "shared", "doc", "deadly") || quarantined(p, 4000, "shared", "doc") || quarantined(p, 4000, "shared", "deadly") {
		t.Fatal("the parts are not refused together, and only together")
	}
	p.Answered(4500, []string{"shared", "doc"})
	if !quarantined(p, 5000, "other", "deadly") || quarantined(p, 5000, "shared", "doc") {
		t.Fatal("the part that is left is not the one that is refused")
	}
}

func TestOnePartOfAGroupThatCrashesAgainIsFound(t *testing.T) {
	p := New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "doc", "deadly")
	}
	crashAt(p, "4", 5000, "other", "deadly")
	crashAt(p, "5", 6000, "other", "deadly")
	if !quarantined(p, 7000, "third", "deadly") || quarantined(p, 7000, "doc", "third") {
		t.Fatal("the part in all crashes is not the one that is refused")
	}
}

func TestEndpointsThatFailTogetherAreOneCrash(t *testing.T) {
	p := New()
	for i := range int64(30) {
		crashAt(p, fmt.Sprint(i), 1000+i, "popular")
	}
	if quarantined(p, 1100, "popular") {
		t.Fatal("a part is quarantined because a failure domain failed")
	}
}

func TestACrashThatSeveralRoutersSawCountsOnce(t *testing.T) {
	p := New()
	for i := range int64(5) {
		crashAt(p, "e", 1000+200*i, "part")
	}
	if quarantined(p, 2000, "part") {
		t.Fatal("one crash of an endpoint counts more than once")
	}
}

func TestAnAnswerReleasesAPartOnEveryRouter(t *testing.T) {
	p, other := New(), New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "part")
		crashAt(other, fmt.Sprint(i), 1000*(i+1), "part")
	}
	if !quarantined(p, 3500, "part") || !quarantined(other, 3500, "part") {
		t.Fatal("not quarantined after three crashes")
	}
	publish, released := p.Answered(4000, []string{"part"})
	if !slices.Equal(publish, []string{"part"}) || len(released) != 1 || released[0].Refused != 1 {
		t.Fatalf("published %v, released %+v", publish, released)
	}
	if released := other.Cleared(Answer{Part: "part", AtMS: 4000}); len(released) != 1 || quarantined(other, 4500, "part") {
		t.Fatalf("released by another router's answer: %+v", released)
	}
	crashAt(other, "2", 3000, "part")
	if quarantined(other, 5000, "part") {
		t.Fatal("a crash before the answer counts when it is read again")
	}
}

func TestAPartWithAnAnswerNeedsOneCrashMore(t *testing.T) {
	p := New()
	p.Answered(500, []string{"part"})
	for i := range int64(4) {
		if quarantined(p, 1000*(i+1), "part") {
			t.Fatalf("quarantined after %d crashes", i)
		}
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "part")
	}
	if !quarantined(p, 5000, "part") {
		t.Fatal("not quarantined after four crashes")
	}
}

func TestAPartThatSoundRequestsShareIsNotTheSuspect(t *testing.T) {
	p := New()
	p.Answered(500, []string{"shared"})
	for i := range int64(5) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "shared", "deadly")
	}
	crashAt(p, "other", 7000, "shared")
	if quarantined(p, 8000, "shared") || !quarantined(p, 8000, "deadly") {
		t.Fatal("the part that had answers is refused for the crashes of a new one")
	}
}

func TestOneRouterLetsATrialPassInEachSlot(t *testing.T) {
	p := New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "part")
	}
	owned := func(_ string, slot int64) bool { return slot == 2 }
	interval := firstTrial.Milliseconds()
	passed := 0
	for now := int64(3000); now < 3000+4*interval; now += 100 {
		if d := p.Check(now, []string{"part"}, owned); d.Trial {
			passed++
			if slot := (now - 3000) / interval; slot != 2 {
				t.Errorf("a trial passed in slot %d", slot)
			}
		}
	}
	if passed != 1 {
		t.Fatalf("%d trials passed, want 1", passed)
	}
	crashAt(p, "trial", 3000+2*interval, "part")
	if d := p.Check(3000+3*interval+100, []string{"part"}, func(string, int64) bool { return true }); d.Trial {
		t.Fatal("the time to the next trial didn't double after a crash in a trial")
	}
}

func TestAPartIsForgottenAfterItsRetention(t *testing.T) {
	p := New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "part")
	}
	end := 3000 + Retention.Milliseconds()
	if !quarantined(p, end-1, "part") || quarantined(p, end, "part") {
		t.Fatal("the quarantine doesn't end with its retention")
	}
	p.Expire(end)
	if p.Len() != 0 || len(p.Status()) != 0 {
		t.Fatal("the part is still known after its retention")
	}
}

func TestCrashesAheadOfTheClockExpire(t *testing.T) {
	p := New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 9_000_000+1000*i, "part")
	}
	p.Expire(1000)
	if quarantined(p, 1000, "part") || p.Len() != 0 {
		t.Fatal("a crash by the clock of another era counts")
	}
}

func TestMemoryOfPartsIsBounded(t *testing.T) {
	p := New()
	for i := range int64(3) {
		crashAt(p, fmt.Sprint(i), 1000*(i+1), "deadly")
	}
	for i := range int64(3 * maxSuspects) {
		part := fmt.Sprintf("p%d", i)
		p.Answered(4000+i, []string{"answered-" + part})
		crashAt(p, part, 4000+i, part)
		for j := range int64(maxCrashes + 2) {
			if i == 0 {
				crashAt(p, fmt.Sprint("again", j), 5000+1000*j, part)
			}
		}
	}
	if p.Len() > maxSuspects || len(p.answered)+len(p.answeredBefore) > 2*answersPerGeneration {
		t.Fatalf("%d suspects and %d answers are remembered", p.Len(), len(p.answered)+len(p.answeredBefore))
	}
	if !quarantined(p, 30_000, "deadly") {
		t.Fatal("other suspects displaced a quarantined part")
	}
	for _, s := range p.suspects {
		if len(s.crashes) > maxCrashes {
			t.Fatalf("%d crashes of one part are remembered", len(s.crashes))
		}
	}
	if key := Key(strings.Repeat("x", 1<<16)); len(key) > maxKeyBytes || key == Key(strings.Repeat("x", 1<<15)) {
		t.Fatalf("key %q of a long part", key)
	}
	if got := p.Suspects(strings.Fields(strings.Repeat("a b c d e f g h ", 9))); len(got) > MaxReported {
		t.Fatalf("%d parts in one report", len(got))
	}
	if crashAt(p, "e", 1, strings.Repeat("x", maxKeyBytes+1)); p.suspects[strings.Repeat("x", maxKeyBytes+1)] != nil {
		t.Fatal("a key beyond the bound is remembered")
	}
}

func TestPartsThatSoundRequestsShareAreReportedLast(t *testing.T) {
	p := New()
	var parts []string
	for i := range 2 * MaxReported {
		part := fmt.Sprintf("sound-%02d", i)
		p.Answered(int64(1000+i), []string{part})
		parts = append(parts, part)
	}
	got := p.Suspects(append(parts, "deadly"))
	if got[0].Part != "deadly" || got[1].Part != "sound-00" || len(got) != MaxReported {
		t.Fatalf("reported parts: %+v", got)
	}
}

// A restarted router may read an answer before the crashes that it clears.
func TestProofRecordsMayBeReadInAnyOrder(t *testing.T) {
	read := []func(p *Parts){
		func(p *Parts) { crashAt(p, "a", 1000, "part") },
		func(p *Parts) { crashAt(p, "b", 2000, "part") },
		func(p *Parts) { p.Cleared(Answer{Part: "part", AtMS: 2500}) },
		func(p *Parts) { crashAt(p, "c", 3000, "part") },
		func(p *Parts) { crashAt(p, "d", 4000, "part") },
	}
	orders := 0
	var permute func(rest []int, order []int)
	permute = func(rest []int, order []int) {
		if len(rest) == 0 {
			orders++
			p := New()
			for _, i := range order {
				read[i](p)
			}
			if quarantined(p, 5000, "part") {
				t.Errorf("quarantined after two crashes since the answer, read in the order %v", order)
			}
			return
		}
		for i, next := range rest {
			permute(append(slices.Clone(rest[:i]), rest[i+1:]...), append(slices.Clone(order), next))
		}
	}
	permute([]int{0, 1, 2, 3, 4}, nil)
	if orders != 120 {
		t.Fatalf("%d orders", orders)
	}
}
