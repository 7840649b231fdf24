package credit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

const (
	// askInterval bounds how often other homes are asked for credit of one
	// workspace.
	askInterval = time.Second
	// askLimit bounds the homes asked for one request.
	askLimit = 3
	// transferWait bounds how long a home takes to hand credit back.
	transferWait = 2 * time.Second
)

// borrow asks the homes that hold most of a workspace's credit to hand some
// back to its lot, from where it is granted as usual. It reports whether any
// did.
func (s *Service) borrow(ctx context.Context, ws string, credits int64) bool {
	if s.opts.Peers == nil || !s.mayAsk(ws) {
		return false
	}
	rows, err := s.listRows(ctx, ledger.GrantPrefix+ws+"/")
	if err != nil {
		return false
	}
	var got int64
	for _, grant := range s.lenders(rowsOf(rows)) {
		resp, err := s.opts.Peers.Transfer(ctx, grant.Holder.VM, &pb.TransferRequest{
			From:      s.opts.Self,
			Workspace: ws,
			Lot:       grant.Lot,
			Credits:   credits - got,
		})
		if err == nil {
			got += resp.GetCredits()
		}
		if got >= credits {
			break
		}
	}
	s.opts.Metrics.Counter("credit_borrowed").Inc(got)
	return got > 0
}

func (s *Service) mayAsk(ws string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.asked[ws]) < askInterval {
		return false
	}
	s.asked[ws] = now
	return true
}

func rowsOf(rows []storage.Row) []ledger.GrantRow {
	grants := make([]ledger.GrantRow, 0, len(rows))
	for _, r := range rows {
		var grant ledger.GrantRow
		if err := json.Unmarshal(r.Value, &grant); err == nil {
			grants = append(grants, grant)
		}
	}
	return grants
}

// lenders returns the grants of other homes that hold most, largest first.
func (s *Service) lenders(grants []ledger.GrantRow) []ledger.GrantRow {
	self := s.self()
	grants = slices.DeleteFunc(grants, func(g ledger.GrantRow) bool {
		return g.State != ledger.GrantOpen || g.Holder.VM == self.VM || g.Amount <= g.Billed
	})
	slices.SortStableFunc(grants, func(x, y ledger.GrantRow) int {
		return cmp.Compare(y.Amount-y.Billed, x.Amount-x.Billed)
	})
	return grants[:min(len(grants), askLimit)]
}

// Transfer hands back unspent credit of a lot because another home asks for
// it. It answers after the write has ended, so that the asker finds the credit
// in the lot's row; a lost answer loses nothing.
func (s *Service) Transfer(ctx context.Context, req *pb.TransferRequest) (*pb.TransferResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, transferWait)
	defer cancel()
	s.mu.Lock()
	offered := s.book.RequestReturn(req.GetWorkspace(), req.GetLot(), req.GetCredits(), time.Now())
	changed := s.changed
	s.mu.Unlock()
	if offered == 0 {
		return &pb.TransferResponse{}, nil
	}
	s.wake()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return &pb.TransferResponse{}, nil
		}
		s.mu.Lock()
		done := s.book.ReturnFinished(req.GetWorkspace(), req.GetLot())
		changed = s.changed
		s.mu.Unlock()
		if done {
			return &pb.TransferResponse{Credits: offered}, nil
		}
	}
}
