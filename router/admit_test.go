package router

import (
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/config"
	"jackdawswitch/router/dispatch"
)

// TestRefusedByHomeTeachesNothing gives a place back without having used it,
// under limits that only the homes apply.
func TestRefusedByHomeTeachesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(func(string, string) int { return 1 })
		a.setLimits([]config.Limit{{Workspace: "w", RequestsPerSecond: 0.001, TokensPerSecond: 0.001, Concurrency: 1}})
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
			learnt := a.pools[admission.PoolID{Service: "s", Model: "m"}].serviceTime
			if ran := used != dispatch.NotReserved; ran != (learnt > 0) {
				t.Errorf("after %d tokens the service time is %v", used, learnt)
			}
		}
	})
}
