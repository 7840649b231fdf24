package catalog_test

import (
	"testing"
	"time"

	"jackdawswitch/catalog"
)

var start = time.Unix(1_000_000, 0)

func newCatalog() *catalog.Catalog {
	c := catalog.New()
	c.ReplaceAll(start, []catalog.Endpoint{{ID: "a", Started: 5}, {ID: "b", Started: 5}})
	return c
}

// An outage of the source lets entries of running endpoints expire. Removing
// these endpoints before they could register again would take them out of use.
func TestMissingEndpointsAreRetainedAfterTheSourceWasUnavailable(t *testing.T) {
	c := newCatalog()
	c.MarkSourceUnavailable()
	c.Remove(start, "a")
	c.MarkSourceAvailable(start.Add(8 * time.Second))
	c.Remove(start.Add(8*time.Second), "b")
	back := start.Add(8 * time.Second)
	if c.RemoveExpired(back.Add(catalog.ReregistrationGrace - time.Millisecond)); len(c.Usable()) != 2 {
		t.Fatalf("endpoints were removed within the grace period; usable: %v", c.Usable())
	}
	c.Put(start, catalog.Endpoint{ID: "b", Started: 5})
	removed := c.RemoveExpired(back.Add(catalog.ReregistrationGrace))
	if len(removed) != 1 || removed[0].ID != "a" || len(c.Usable()) != 1 {
		t.Fatalf("removed %v, usable %v; want endpoint a removed and b usable", removed, c.Usable())
	}
}

func TestMissingEndpointsAreRemovedWhileTheSourceIsAvailable(t *testing.T) {
	c := newCatalog()
	if removed := c.Remove(start, "a"); len(removed) != 1 {
		t.Fatalf("removed %v, want endpoint a", removed)
	}
	if removed := c.ReplaceAll(start, []catalog.Endpoint{}); len(removed) != 1 || c.Len() != 0 {
		t.Fatalf("removed %v, want only endpoint b, and an empty catalog", removed)
	}
}

func TestMissingLeavingEndpointIsNotRetained(t *testing.T) {
	c := newCatalog()
	c.Put(start, catalog.Endpoint{ID: "a", Started: 5, Leaving: true})
	c.MarkSourceUnavailable()
	if removed := c.Remove(start, "a"); len(removed) != 1 {
		t.Fatalf("removed %v, want endpoint a", removed)
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	c := newCatalog()
	c.Put(start, catalog.Endpoint{ID: "a", Started: 9, Address: "new"})
	c.Put(start, catalog.Endpoint{ID: "a", Started: 5, Address: "old", Leaving: true})
	usable := c.Usable()
	if len(usable) != 2 || usable[0].Address != "new" {
		t.Fatalf("usable endpoints are %v, want the newer incarnation of a, and b", usable)
	}
}

// TestIncarnationWithAnEarlierStartIsUsedIfItLasts guards against an endpoint that gets no
// work: its VM's wall clock was set back before it started again under its ID.
func TestIncarnationWithAnEarlierStartIsUsedIfItLasts(t *testing.T) {
	c := newCatalog()
	c.Put(start, catalog.Endpoint{ID: "a", Started: 9, Address: "first"})
	c.Put(start, catalog.Endpoint{ID: "a", Started: 7, Address: "second"})
	if accepted := c.AcceptEarlier(start.Add(3 * time.Second)); len(accepted) != 0 || c.Usable()[0].Address != "first" {
		t.Fatalf("accepted %v within the grace period", accepted)
	}
	if accepted := c.AcceptEarlier(start.Add(4 * time.Second)); len(accepted) != 1 || c.Usable()[0].Address != "second" {
		t.Fatalf("accepted %v, usable %v; want the second incarnation", accepted, c.Usable())
	}
	// A delayed write of an ended incarnation is followed by one of the live endpoint.
	c.Put(start, catalog.Endpoint{ID: "a", Started: 3, Address: "late"})
	c.Put(start.Add(time.Second), catalog.Endpoint{ID: "a", Started: 7, Address: "second"})
	if accepted := c.AcceptEarlier(start.Add(time.Minute)); len(accepted) != 0 || c.Usable()[0].Address != "second" {
		t.Fatalf("accepted %v though the live endpoint wrote again", accepted)
	}
}
