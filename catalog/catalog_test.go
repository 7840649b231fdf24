package catalog_test

import (
	"testing"
	"time"

	"jackdawswitch/catalog"
)

var start = time.Unix(1_000_000, 0)

func filled() *catalog.Catalog {
	c := catalog.New()
	c.Reset(start, []catalog.Endpoint{{ID: "a", Started: 5}, {ID: "b", Started: 5}})
	return c
}

func TestEntriesThatLapseWhileTheSourceIsAwayAreHeldForTheGrace(t *testing.T) {
	c := filled()
	c.Lost()
	c.Remove(start, "a")
	c.Regained(start.Add(8 * time.Second))
	c.Remove(start.Add(8*time.Second), "b")
	back := start.Add(8 * time.Second)
	if c.Expire(back.Add(catalog.ReturnGrace - time.Millisecond)); len(c.Usable()) != 2 {
		t.Fatalf("entries were dropped within the grace: %v", c.Usable())
	}
	c.Put(catalog.Endpoint{ID: "b", Started: 5})
	removed := c.Expire(back.Add(catalog.ReturnGrace))
	if len(removed) != 1 || removed[0].ID != "a" || len(c.Usable()) != 1 {
		t.Fatalf("removed %v, usable %v", removed, c.Usable())
	}
}

func TestEntriesThatLapseOtherwiseAreDroppedAtOnce(t *testing.T) {
	c := filled()
	if removed := c.Remove(start, "a"); len(removed) != 1 {
		t.Fatalf("removed %v", removed)
	}
	if removed := c.Reset(start, []catalog.Endpoint{}); len(removed) != 1 || c.Len() != 0 {
		t.Fatalf("removed %v", removed)
	}
}

func TestALeavingEndpointThatLapsesIsNotHeld(t *testing.T) {
	c := filled()
	c.Put(catalog.Endpoint{ID: "a", Started: 5, Leaving: true})
	c.Lost()
	if removed := c.Remove(start, "a"); len(removed) != 1 {
		t.Fatalf("removed %v", removed)
	}
}

func TestAnOlderIncarnationChangesNothing(t *testing.T) {
	c := filled()
	c.Put(catalog.Endpoint{ID: "a", Started: 9, Address: "new"})
	c.Put(catalog.Endpoint{ID: "a", Started: 5, Address: "old", Leaving: true})
	usable := c.Usable()
	if len(usable) != 2 || usable[0].Address != "new" {
		t.Fatalf("usable %v", usable)
	}
}
