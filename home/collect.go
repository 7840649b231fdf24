package home

import (
	"context"
	"strconv"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/storage"
)

// collectPageSize is the number of claims read in one step.
const collectPageSize = 500

// collector removes claims after their retention, one page at a time. The home
// of a workspace's first partition does this for the whole workspace.
type collector struct {
	server *Server
	// workspace is the index of the current workspace in the configuration.
	workspace int
	// after is the row key after which the next page starts.
	after  string
	serial int
}

func (s *Server) newCollector() *collector { return &collector{server: s} }

func (c *collector) step(ctx context.Context) {
	s := c.server
	doc, _ := s.opts.Config()
	if doc == nil || len(doc.Register.Workspaces) == 0 {
		return
	}
	if policy := s.crashPolicy(); policy.Limit > 0 {
		s.crashes.expire(ctx, time.Now(), policy, s.isFirstPartitionHome)
	}
	for range doc.Register.Workspaces {
		c.workspace %= len(doc.Register.Workspaces)
		id := doc.Register.Workspaces[c.workspace].ID
		if s.isFirstPartitionHome(id) {
			c.collectPage(ctx, id)
			return
		}
		c.nextWorkspace()
	}
}

// isFirstPartitionHome reports whether this process is the home of the workspace's first
// partition.
func (s *Server) isFirstPartitionHome(workspace string) bool {
	ok, _, _ := s.opts.Members.IsHome(&pb.Partition{Workspace: workspace})
	return ok
}

func (c *collector) nextWorkspace() {
	c.workspace++
	c.after = ""
}

func (c *collector) collectPage(ctx context.Context, workspace string) {
	s := c.server
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.TableCallTimeout)
	defer cancel()
	rows, err := s.opts.Table.List(ctx, claim.RowPrefix+workspace+"/", c.after, collectPageSize)
	if err != nil {
		return
	}
	c.serial++
	txn := storage.Transaction{ID: s.claims.idPrefix + ".collect." + strconv.Itoa(c.serial)}
	for _, found := range rows {
		c.after = found.Key
		row, err := claim.DecodeRow(found.Key, found.Value)
		if err != nil || !expired(row, s.opts.Timing.ClaimRetention) {
			continue
		}
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: found.Key, Version: found.Version})
		txn.Deletes = append(txn.Deletes, found.Key)
	}
	if len(txn.Deletes) > 0 {
		if _, err := s.opts.Table.Commit(ctx, txn); err != nil {
			s.opts.Logger.Debug("cannot remove expired claims; will retry in the next pass", "workspace", workspace, "err", err)
		}
	}
	if len(rows) < collectPageSize {
		c.nextWorkspace()
	}
}

// expired reports whether a claim may be removed. A claim with an unknown
// outcome stays until an operator has resolved it.
func expired(row claim.Row, retention time.Duration) bool {
	ended := row.State == claim.RowFinished || row.State == claim.RowReleased
	return ended && time.Since(row.ClaimedAt) > retention
}

// removeRow deletes a row if removable accepts its current value. It ignores
// failures: the row then stays.
func removeRow(ctx context.Context, table storage.Table, rowKey string, removable func(value []byte) bool) {
	rows, err := table.Get(ctx, rowKey)
	if err != nil || len(rows) == 0 || !removable(rows[0].Value) {
		return
	}
	version := rows[0].Version
	_, _ = table.Commit(ctx, storage.Transaction{
		ID:         rowKey + ".remove." + strconv.FormatUint(version, 10),
		Conditions: []storage.Condition{{Key: rowKey, Version: version}},
		Deletes:    []string{rowKey},
	})
}
