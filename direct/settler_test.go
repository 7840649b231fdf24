package direct

import (
	"log/slog"
	"sync"
	"testing"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
)

// Guards against a process that panics at the end of a stop, as requests that were cut off are settled.
func TestLateSettlementsMeetTheClosingSettler(t *testing.T) {
	for range 5000 {
		r := New(Options{
			Settings: Settings{VM: "vm", FailureDomain: "fd"}, Incarnation: 7, Network: memnet.New().Host("vm"), Protocol: testProtocol{},
			Table: standin.NewTable(), Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
		})
		s := &r.fleetCredit.settler
		var late sync.WaitGroup
		for i := range 8 {
			late.Go(func() {
				s.add(prepaid.ProcessID{VM: "other", Incarnation: int64(i % 2)}, &pb.CreditSettlement{Reservation: uint64(i + 1)})
			})
		}
		func() {
			defer func() {
				if cause := recover(); cause != nil {
					t.Error(cause)
				}
			}()
			s.close()
		}()
		late.Wait()
	}
}
