package direct

import (
	"net/http"
	"testing"
	"time"
)

// A later configuration may have the route or the key.
func TestProofAnUnconfirmedConfigurationRefusesNothingForGood(t *testing.T) {
	const bound = 2 * time.Second
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	g.router.opts.Settings.MaxConfigDelay = bound
	for name, c := range map[string]struct {
		age    time.Duration
		status func(final int) int
	}{
		"never confirmed": {-1, func(int) int { return http.StatusServiceUnavailable }},
		"too old":         {bound, func(int) int { return http.StatusServiceUnavailable }},
		"confirmed":       {bound / 2, func(final int) int { return final }},
	} {
		g.router.configAge.confirmed.at.Store(nil)
		if c.age >= 0 {
			g.router.ConfigReadAt(time.Now().Add(-c.age), true)
		}
		for path, request := range map[string]struct {
			key   string
			final int
		}{
			"/none/a": {testKey, http.StatusNotFound},
			"/read/a": {"other", http.StatusUnauthorized},
		} {
			got := g.send(http.MethodGet, path, "", "T-Key", request.key)
			want := c.status(request.final)
			if got.status != want || (got.header.Get("Retry-After") != "") != (want == http.StatusServiceUnavailable) {
				t.Errorf("%s, %s: status %d with Retry-After %q, want %d", name, path, got.status, got.header.Get("Retry-After"), want)
			}
		}
		if got := g.send(http.MethodGet, "/read/a", ""); got.status != http.StatusOK {
			t.Errorf("%s: a request that the configuration allows got status %d", name, got.status)
		}
	}
}

func TestAnOvertakenResponseDoesNotAgeTheConfiguration(t *testing.T) {
	var read latestTime
	now := time.Now()
	read.observe(now)
	read.observe(now.Add(-time.Second))
	if got := read.get(); !got.Equal(now) {
		t.Errorf("read %v before the last response", now.Sub(got))
	}
}

// The response that ends a route, or moves it, lies unread.
func TestProofASaturatedRouterDoesNotServeByAnOldConfiguration(t *testing.T) {
	const bound = 2 * time.Second
	for name, c := range map[string]struct {
		age                    time.Duration
		newest                 bool
		saturated, unavailable bool
		status                 int
	}{
		"saturated":                         {bound, true, true, false, http.StatusServiceUnavailable},
		"saturated, read in time":           {bound / 2, true, true, false, http.StatusOK},
		"saturated, an older copy in time":  {bound / 2, false, true, false, http.StatusOK},
		"saturated, cut off from the table": {bound, true, true, true, http.StatusOK},
		"not saturated":                     {bound, true, false, false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
			g.router.opts.Settings.MaxConfigDelay = bound
			g.router.ConfigReadAt(time.Now().Add(-c.age), c.newest)
			g.router.SetConfigSourceUnavailable(c.unavailable)
			g.router.overload.saturated.Store(c.saturated)
			got := g.send(http.MethodGet, "/read/a", "")
			if got.status != c.status || (got.header.Get("Retry-After") != "") != (c.status != http.StatusOK) {
				t.Errorf("status %d with Retry-After %q, want %d", got.status, got.header.Get("Retry-After"), c.status)
			}
		})
	}
}

// The response by which an endpoint leaves lies unread.
func TestProofASaturatedRouterDoesNotSendByAnOldListOfEndpoints(t *testing.T) {
	const bound = 2 * time.Second
	for name, c := range map[string]struct {
		age                    time.Duration
		saturated, unavailable bool
		runs                   int
	}{
		"saturated":                         {bound, true, false, 0},
		"saturated, read in time":           {bound / 2, true, false, 1},
		"saturated, cut off from the table": {bound, true, true, 1},
		"not saturated":                     {bound, false, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
			g.router.opts.Settings.MaxLeavingDelay = bound
			g.router.EndpointsReadAt(0, 1, time.Now().Add(-c.age))
			g.router.SetEndpointSourceUnavailable(c.unavailable)
			g.router.overload.saturated.Store(c.saturated)
			got := g.send(http.MethodPost, "/book/a", "x")
			if g.runs() != c.runs || (got.status == http.StatusServiceUnavailable) != (c.runs == 0) {
				t.Errorf("%d runs, status %d, want %d runs", g.runs(), got.status, c.runs)
			}
		})
	}
}

// Between the choice and the first byte the router waits for a connection and its processor.
func TestProofARequestIsNotSentOnceTheListIsTooOld(t *testing.T) {
	const bound = 2 * time.Second
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	g.router.opts.Settings.MaxLeavingDelay = bound
	g.router.overload.saturated.Store(true)
	x, a := &exchange{router: g.router}, &attempt{listRead: time.Now().Add(-bound / 2)}
	if err := x.checkBeforeSend(a); err != nil {
		t.Fatal(err)
	}
	a.listRead = time.Now().Add(-bound)
	if err := x.checkBeforeSend(a); err == nil || a.overtaken.Load() == nil {
		t.Errorf("got error %v, want an OvertakenError", err)
	}
}
