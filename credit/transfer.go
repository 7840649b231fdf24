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
	// borrowInterval is the minimum time between two rounds of asking other
	// homes for credit of one workspace.
	borrowInterval = time.Second
	// maxLenders bounds the homes asked in one round.
	maxLenders = 3
	// transferTimeout bounds how long a home takes to return credit for
	// another.
	transferTimeout = 2 * time.Second
)

// borrow asks the homes that hold the most unbilled credit of a workspace to
// return some to its lot, from which it can then be granted as usual. It
// reports whether any was returned.
func (s *Service) borrow(ctx context.Context, ws string, credits int64) bool {
	if s.opts.Peers == nil || !s.allowBorrow(ws) {
		return false
	}
	rows, err := s.listRows(ctx, ledger.GrantPrefix+ws+"/")
	if err != nil {
		return false
	}
	var returned int64
	for _, grant := range s.lenders(decodeGrantRows(rows)) {
		resp, err := s.opts.Peers.Transfer(ctx, grant.Holder.VM, &pb.TransferRequest{
			From:      s.opts.Self,
			Workspace: ws,
			Lot:       grant.Lot,
			Credits:   credits - returned,
		})
		if err == nil {
			returned += resp.GetCredits()
		}
		if returned >= credits {
			break
		}
	}
	s.opts.Metrics.Counter("credit_borrowed").Inc(returned)
	return returned > 0
}

// allowBorrow reports whether other homes may be asked for credit of the
// workspace now, and records that they are.
func (s *Service) allowBorrow(ws string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastBorrow[ws]) < borrowInterval {
		return false
	}
	s.lastBorrow[ws] = now
	return true
}

// decodeGrantRows skips rows that do not decode.
func decodeGrantRows(rows []storage.Row) []ledger.GrantRow {
	grants := make([]ledger.GrantRow, 0, len(rows))
	for _, r := range rows {
		var grant ledger.GrantRow
		if err := json.Unmarshal(r.Value, &grant); err == nil {
			grants = append(grants, grant)
		}
	}
	return grants
}

// lenders returns the open grants of other homes with the most unbilled credit,
// largest first.
func (s *Service) lenders(grants []ledger.GrantRow) []ledger.GrantRow {
	self := s.self()
	grants = slices.DeleteFunc(grants, func(g ledger.GrantRow) bool {
		return g.State != ledger.GrantOpen || g.Holder.VM == self.VM || g.Amount <= g.Billed
	})
	slices.SortStableFunc(grants, func(x, y ledger.GrantRow) int {
		return cmp.Compare(y.Amount-y.Billed, x.Amount-x.Billed)
	})
	return grants[:min(len(grants), maxLenders)]
}

// Transfer returns unspent credit to a lot at the request of another home. It
// responds after the write has ended, so that the borrower finds the credit in
// the lot's row, even if the response is lost. The response states 0 credits if
// nothing can be returned or the write takes longer than transferTimeout.
func (s *Service) Transfer(ctx context.Context, req *pb.TransferRequest) (*pb.TransferResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
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
