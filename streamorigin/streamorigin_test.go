package streamorigin

import (
	"strconv"
	"testing"
	"time"
)

func stream(request, version string) Stream {
	return Stream{Key: KeyOf("w", request), Origin: Origin{Service: "s", Version: version}, Keep: time.Minute}
}

// Two workspaces may use the same request ID, and one workspace by mistake.
func TestAnAmbiguousOriginIsNotKnown(t *testing.T) {
	now := time.Now()
	b := NewBook()
	b.Began(now, stream("r", "v1"))
	if got, ok := b.Find(now, KeyOf("w", "r")); !ok || got.Origin.Version != "v1" || got.Keep != time.Minute {
		t.Fatalf("found %+v, %v", got, ok)
	}
	if _, ok := b.Find(now, KeyOf("other", "r")); ok {
		t.Error("a stream of another workspace was found")
	}
	b.Learned(now, stream("r", "v2"))
	if _, ok := b.Find(now, KeyOf("w", "r")); ok {
		t.Error("a stream that began at two versions was found")
	}
}

func TestOriginsAreKeptForATimeAndBounded(t *testing.T) {
	now := time.Now()
	b := NewBook()
	long := stream("long", "v1")
	long.Keep = 24 * time.Hour
	b.Learned(now, long)
	if _, ok := b.Find(now.Add(Memory), long.Key); ok {
		t.Error("kept for longer than Memory")
	}
	b.Began(now, stream("ended", "v1"))
	b.Ended(now, KeyOf("w", "ended"))
	if _, ok := b.Find(now.Add(endedKeep-1), KeyOf("w", "ended")); !ok {
		t.Error("an ended stream was forgotten at once")
	}
	if _, ok := b.Find(now.Add(endedKeep), KeyOf("w", "ended")); ok {
		t.Error("an ended stream is kept like one that goes on")
	}
	for i := range maxStreams + 10 {
		b.Learned(now, stream(strconv.Itoa(i), "v1"))
	}
	if _, ok := b.Find(now, KeyOf("w", strconv.Itoa(maxStreams+9))); !ok || b.Len() != maxStreams {
		t.Errorf("%d origins, the newest known: %v", b.Len(), ok)
	}
	b.Expire(now.Add(Memory))
	if b.Len() != 0 || b.order.Len() != 0 {
		t.Errorf("%d origins after their time", b.Len())
	}
}

func TestEachStreamIsToldOnce(t *testing.T) {
	now := time.Now()
	b := NewBook()
	b.Began(now, stream("a", "v1"))
	b.Began(now, stream("b", "v1"))
	b.Learned(now, stream("c", "v1"))
	if _, ok := b.TakeUntoldStream(now, KeyOf("w", "a")); !ok {
		t.Error("a stream that began here counts as told")
	}
	if _, ok := b.TakeUntoldStream(now, KeyOf("w", "c")); ok {
		t.Error("a stream of another router is told")
	}
	if got := b.TakeUntold(now, "s"); len(got) != 1 || got[0].Key != KeyOf("w", "b") {
		t.Errorf("told %v", got)
	}
	if got := b.TakeUntold(now, "s"); len(got) != 0 {
		t.Errorf("told again: %v", got)
	}
}

func TestAVersionCountsForATimeAfterItWasListed(t *testing.T) {
	now := time.Now()
	one, two := Origin{Service: "s", Version: "v1"}, Origin{Service: "s", Version: "v2"}
	v := NewVersions()
	expect := func(when, sole string, several bool) {
		t.Helper()
		got, ok := v.Sole(now, "s")
		if got != sole || ok != (sole != "") || v.Several(now, "s") != several {
			t.Errorf("%s: sole version %q, several: %v", when, got, v.Several(now, "s"))
		}
	}
	expect("nothing is listed", "", false)
	v.SetListed(now, map[Origin]bool{one: true})
	expect("one is listed", "v1", false)
	if grown := v.SetListed(now, map[Origin]bool{one: true, two: true}); len(grown) != 1 {
		t.Errorf("services with another version: %v", grown)
	}
	expect("two are listed", "", true)
	v.SetListed(now, map[Origin]bool{two: true})
	now = now.Add(Memory - 1)
	v.Expire(now)
	expect("one is gone", "", true)
	now = now.Add(1)
	v.Expire(now)
	expect("one is gone for long", "v2", false)
	change := v.Change()
	v.Heard(now, one, Memory)
	expect("another router listed it long ago", "v2", false)
	v.Heard(now, one, Memory-time.Second)
	expect("another router listed it", "", true)
	if v.Change() != change {
		t.Error("what other routers list is published as a change")
	}
}

// A router record that doesn't hold all versions names those of the first services.
func TestVersionsThatARecordDoesNotNameAreNotTakenForNone(t *testing.T) {
	now := time.Now()
	v := NewVersions()
	v.SetListed(now, map[Origin]bool{{Service: "a", Version: "v1"}: true, {Service: "m", Version: "v1"}: true, {Service: "z", Version: "v1"}: true})
	v.HeardInPart(now, "n")
	v.HeardInPart(now, "b")
	for service, want := range map[string]bool{"a": true, "m": false, "z": false} {
		if _, ok := v.Sole(now, service); ok != want {
			t.Errorf("service %s: %v, want %v", service, ok, want)
		}
	}
	if _, ok := v.Sole(now.Add(Memory), "z"); !ok {
		t.Error("not known after the versions before no longer count")
	}
}

func TestVersionsOfAServiceAreBounded(t *testing.T) {
	now := time.Now()
	v := NewVersions()
	v.SetListed(now, map[Origin]bool{{Service: "s", Version: "listed"}: true})
	for i := range 2 * maxVersions {
		v.Heard(now.Add(time.Duration(i)), Origin{Service: "s", Version: strconv.Itoa(i)}, 0)
	}
	if all := v.All(now.Add(time.Second)); len(all) != maxVersions || !all[len(all)-1].Listed {
		t.Errorf("%d versions, the last one %+v", len(all), all[len(all)-1])
	}
}
