package direct

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Guards against a log line that reads a kept connection that another request has taken; for -race.
func TestAConnectionIsNotReadOnceItIsGivenBack(t *testing.T) {
	g := newTestRouter(t, 1, keepFor(10*time.Second))
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for n := range 50 {
				if got := g.send(http.MethodPost, "/read/a", "", "T-Id", strconv.Itoa(caller)+"-"+strconv.Itoa(n)); got.status != http.StatusOK {
					t.Errorf("%+v", got)
				}
			}
		})
	}
	callers.Wait()
}
