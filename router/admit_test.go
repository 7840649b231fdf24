package router

import (
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/config"
	"jackdawswitch/router/dispatch"
)

// TestRefusalByHomeDoesNotUpdateServiceTime guards against counting the time that
// a request held its slot as service time when the home refused it. The limits
// given are ones that only the homes apply, and must not delay admission.
func TestRefusalByHomeDoesNotUpdateServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(func(string, string) int { return 1 })
		a.setWeights([]config.Limit{{Workspace: "w", RequestsPerSecond: 0.001, TokensPerSecond: 0.001, Concurrency: 1}})
		for _, used := range []int64{dispatch.NotReserved, dispatch.NotReserved, 1} {
			req := &dispatch.Request{
				ID: "r", Workspace: "w", Service: "s", Model: "m", Tokens: 5, QueueDeadline: time.Now().Add(time.Second),
			}
			release, err := a.Admit(t.Context(), req)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			release(used)
			serviceTime := a.pools[admission.PoolID{Service: "s", Model: "m"}].serviceTime
			if ran := used != dispatch.NotReserved; ran != (serviceTime > 0) {
				t.Errorf("after %d tokens the service time is %v", used, serviceTime)
			}
		}
	})
}
