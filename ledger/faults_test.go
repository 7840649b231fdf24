package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"jackdawswitch/storage"
)

// replaceHome declares a home dead and starts its successor. With resumes set, the
// old process was only paused and continues without knowing of its replacement.
func (f *fleet) replaceHome(i int, resumes bool) {
	old := f.homes[i]
	f.dead[old.self] = true
	f.homes[i] = f.newHome(Holder{VM: old.self.VM, Incarnation: old.self.Incarnation + 1})
	if resumes && len(f.homes) < 5 {
		f.homes = append(f.homes, old)
	}
}

// reclaimStep performs one step of the reclaim of one grant at the given home. With
// delayed set, the final write gets no response and takes effect later, if at all.
func (f *fleet) reclaimStep(h *home, delayed bool) {
	rows := append(f.grantRows(GrantOpen), f.grantRows(GrantReclaiming)...)
	if len(rows) == 0 {
		return
	}
	r := rows[f.pick("grant", len(rows))]
	row := decode[GrantRow](r)
	f.writeCount++
	id := fmt.Sprintf("reclaim.%d", f.writeCount)
	if row.State == GrantOpen {
		if f.dead[row.Holder] {
			value, _ := json.Marshal(BeginReclaim(row, h.self))
			f.apply(storage.Transaction{ID: id, Conditions: []storage.Condition{{Key: r.Key, Version: r.Version}}, Puts: []storage.Put{{Key: r.Key, Value: value}}})
		}
		return
	}
	lot := f.rows[LotKey("ws", row.Lot)]
	next, bills := Reclaim(GrantLotRows{Grant: row, GrantVersion: r.Version, Lot: decode[LotRow](lot), LotVersion: lot.Version}, f.gatherReceipts(row.ID))
	write := NewReclaimWrite(id, next, bills)
	f.objects[write.BatchID] = write.BatchBody
	if delayed {
		f.delayedWrites = append(f.delayedWrites, write.Txn)
		return
	}
	f.apply(write.Txn)
}

// gatherReceipts fences the grant at all agents and collects their receipts.
func (f *fleet) gatherReceipts(grant string) GatheredReceipts {
	f.fenced[grant] = true
	g := GatheredReceipts{AgentLost: f.agentLost}
	for _, id := range slices.Sorted(maps.Keys(f.runs)) {
		r := f.runs[id]
		switch {
		case r.slot.Grant != grant || !r.atAgent:
		case r.finished:
			g.Bills = append(g.Bills, r.bill())
		default:
			g.Running = append(g.Running, OpenSlot{Sequence: r.slot.Sequence, Credits: r.credits, Key: r.key})
		}
	}
	return g
}

// billLateReceipt bills a receipt that arrives after those of its grant have been
// gathered.
func (f *fleet) billLateReceipt() {
	r := f.pickRun("late", func(r *run) bool { return r.finished })
	if r == nil {
		return
	}
	g := f.rows[GrantKey("ws", r.slot.Lot, r.slot.Grant)]
	row := decode[GrantRow](g)
	if !row.Gathered {
		return
	}
	lot := f.rows[LotKey("ws", r.slot.Lot)]
	next, bills, err := BillLateReceipts(GrantLotRows{Grant: row, GrantVersion: g.Version, Lot: decode[LotRow](lot), LotVersion: lot.Version}, []Bill{r.bill()})
	if err != nil {
		f.t.Fatalf("late receipt does not fit: %v", err)
	}
	f.writeCount++
	write := NewReclaimWrite(fmt.Sprintf("late.%d", f.writeCount), next, bills)
	f.objects[write.BatchID] = write.BatchBody
	f.apply(write.Txn)
}

// handOver exports the grants of one home for the other. With messageLost set, the
// message with the grants never arrives.
func (f *fleet) handOver(from *home, messageLost bool) {
	out := from.book.Export("ws")
	for _, t := range out {
		f.exported[t.ID] = true
	}
	if !messageLost {
		f.transfers = append(f.transfers, out...)
	}
}

// adoptGrant plans the adoption of the oldest transferred grant.
func (f *fleet) adoptGrant(h *home) {
	if len(f.transfers) == 0 || h.inFlight != nil {
		return
	}
	t := f.transfers[0]
	f.transfers = f.transfers[1:]
	if h.book.LastListed("ws").IsZero() {
		f.observeLots(h)
	}
	r := f.rows[GrantKey("ws", t.Lot, t.ID)]
	h.inFlight = h.book.PlanAdopt(t, decode[GrantRow](r), r.Version)
}

// loseAgent simulates the death of an agent with its runs and receipts. Half of
// all slots, those with an even sequence, are at this agent.
func (f *fleet) loseAgent() {
	f.agentLost = true
	for _, r := range f.runs {
		if r.atAgent && r.slot.Sequence%2 == 0 {
			if !r.finished {
				r.usage = r.credits // It may have used all of its reservation.
			}
			r.receiptLost = true
			r.atAgent = false
			r.finished = true
		}
	}
}
