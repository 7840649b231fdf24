package direct

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
)

// Guards against a process that panics at the end of a stop, as a request that was cut off is settled.
func TestALateSettlementMeetsTheClosingSettler(*testing.T) {
	for range 200 {
		g := New(Options{Settings: Settings{VM: "vm", FailureDomain: "fd"}, Incarnation: 7, Network: memnet.New().Host("vm"), Protocol: testProtocol{}, Table: standin.NewTable(), Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
		s := &g.fleetCredit.settler
		holder := prepaid.ProcessID{VM: "other", Incarnation: 1}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 50 {
				s.add(holder, &pb.CreditSettlement{Reservation: uint64(i + 1)})
				time.Sleep(time.Microsecond)
			}
		}()
		s.close()
		<-done
	}
}
