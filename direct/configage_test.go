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
		g.router.configAge.asOf.Store(nil)
		if c.age >= 0 {
			g.router.ConfirmConfig(time.Now().Add(-c.age))
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

func TestAnOvertakenConfirmationDoesNotAgeTheConfiguration(t *testing.T) {
	var age configAge
	now := time.Now()
	age.confirm(now)
	age.confirm(now.Add(-time.Second))
	if got := age.confirmed(); !got.Equal(now) {
		t.Errorf("confirmed %v before the last confirmation", now.Sub(got))
	}
}
