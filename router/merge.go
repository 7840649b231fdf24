package router

import (
	"context"
	"math/rand/v2"

	"jackdawswitch/config"
	"jackdawswitch/credit/audit"
)

// mergeBills periodically searches the lots for keys that were billed twice and
// credits one of the two bills. A key is billed twice when two homes served it
// while they could not reach each other. One router does this for each lot: the
// home of the workspace's partition 0, in the region that isMergeRegion chooses.
func (r *Router) mergeBills(ctx context.Context) {
	for {
		interval := r.opts.MergeInterval
		sleep(ctx, interval/2+rand.N(interval))
		if ctx.Err() != nil {
			return
		}
		doc, _ := r.configStore.Current()
		if doc == nil || !isMergeRegion(doc, r.opts.Settings.Identity.Region) {
			continue
		}
		r.mergeLots(ctx, doc)
	}
}

// isMergeRegion reports whether the region is the first by name of the register's
// regions.
func isMergeRegion(doc *config.Document, region string) bool {
	for _, domain := range doc.Register.FailureDomains {
		if domain.Region < region {
			return false
		}
	}
	return true
}

// mergeLots merges the bills of the lots whose merge this process is responsible
// for.
func (r *Router) mergeLots(ctx context.Context, doc *config.Document) {
	auditor := &audit.Auditor{Table: r.opts.Table, Objects: r.opts.Objects}
	window := 2 * doc.Rules.Requests.RetryWindow()
	for _, lot := range doc.Register.Lots {
		member, ok := r.peer.Home(lot.Workspace, 0)
		if !ok || member.VM() != r.self.GetVm() {
			continue
		}
		credited, err := auditor.Merge(ctx, lot.Workspace, lot.ID, window)
		if err != nil {
			r.opts.Logger.Warn("merging bills of a lot failed; retrying at the next interval", "workspace", lot.Workspace, "lot", lot.ID, "error", err)
			continue
		}
		if credited > 0 {
			r.opts.Metrics.Counter("credits_merged").Inc(credited)
			r.opts.Logger.Info("credited bills of keys that were billed twice", "workspace", lot.Workspace, "lot", lot.ID, "credited", credited)
		}
	}
}
