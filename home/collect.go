package home

import (
	"context"
	"strconv"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/storage"
)

// collectPage is the number of claims looked at in one step.
const collectPage = 500

// collector removes claims whose retention is over, a page at a time. The home
// of a workspace's first partition does it for the workspace.
type collector struct {
	server    *Server
	workspace int
	after     string
	serial    int
}

func (s *Server) newCollector() *collector { return &collector{server: s} }

func (c *collector) step(ctx context.Context) {
	s := c.server
	doc, _ := s.opts.Config()
	if doc == nil || len(doc.Register.Workspaces) == 0 {
		return
	}
	if policy := s.crashPolicy(); policy.Limit > 0 {
		s.crash.expire(ctx, time.Now(), policy, s.isFirstHome)
	}
	for range doc.Register.Workspaces {
		c.workspace %= len(doc.Register.Workspaces)
		id := doc.Register.Workspaces[c.workspace].ID
		if s.isFirstHome(id) {
			c.page(ctx, id)
			return
		}
		c.next()
	}
}

// isFirstHome reports whether this process is the home of the workspace's first
// partition.
func (s *Server) isFirstHome(workspace string) bool {
	ok, _, _ := s.opts.Members.IsHome(&pb.Partition{Workspace: workspace})
	return ok
}

func (c *collector) next() {
	c.workspace++
	c.after = ""
}

func (c *collector) page(ctx context.Context, workspace string) {
	s := c.server
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.ClaimCall)
	defer cancel()
	rows, err := s.opts.Table.List(ctx, claim.RowPrefix+workspace+"/", c.after, collectPage)
	if err != nil {
		return
	}
	c.serial++
	txn := storage.Transaction{ID: s.claims.prefix + ".collect." + strconv.Itoa(c.serial)}
	for _, found := range rows {
		c.after = found.Key
		row, err := claim.DecodeRow(found.Key, found.Value)
		if err != nil || !expired(row, s.opts.Timing.ClaimKeep) {
			continue
		}
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: found.Key, Version: found.Version})
		txn.Deletes = append(txn.Deletes, found.Key)
	}
	if len(txn.Deletes) > 0 {
		if _, err := s.opts.Table.Commit(ctx, txn); err != nil {
			s.opts.Logger.Debug("old claims not removed", "workspace", workspace, "err", err)
		}
	}
	if len(rows) < collectPage {
		c.next()
	}
}

// expired reports whether a claim may be removed. An outcome that is not known
// stays until an operator has resolved it.
func expired(row claim.Row, keep time.Duration) bool {
	ended := row.State == claim.RowFinished || row.State == claim.RowReleased
	return ended && time.Since(row.ClaimedAt) > keep
}

// removeRow deletes a row if its value still may go. A failure leaves the row
// to the next round.
func removeRow(ctx context.Context, table storage.Table, rowKey string, may func(value []byte) bool) {
	rows, err := table.Get(ctx, rowKey)
	if err != nil || len(rows) == 0 || !may(rows[0].Value) {
		return
	}
	version := rows[0].Version
	_, _ = table.Commit(ctx, storage.Transaction{
		ID:         rowKey + ".remove." + strconv.FormatUint(version, 10),
		Conditions: []storage.Condition{{Key: rowKey, Version: version}},
		Deletes:    []string{rowKey},
	})
}
