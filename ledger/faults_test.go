package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"jackdawswitch/storage"
)

// replace declares a home dead and starts its successor. The old process may
// be gone, or paused: it then wakes up and goes on as if nothing happened.
func (w *world) replace(i int, wakes bool) {
	old := w.homes[i]
	w.dead[old.self] = true
	w.homes[i] = w.newHome(Holder{VM: old.self.VM, Incarnation: old.self.Incarnation + 1})
	if wakes && len(w.homes) < 5 {
		w.homes = append(w.homes, old)
	}
}

// reclaim does one step of the reclaim of one grant, for one of the homes.
func (w *world) reclaim(h *home, lostAnswer bool) {
	rows := append(w.grantRows(GrantOpen), w.grantRows(GrantReclaiming)...)
	if len(rows) == 0 {
		return
	}
	r := rows[w.pick("grant", len(rows))]
	row := decode[GrantRow](r)
	w.writes++
	id := fmt.Sprintf("reclaim.%d", w.writes)
	if row.State == GrantOpen {
		if w.dead[row.Holder] {
			value, _ := json.Marshal(BeginReclaim(row, h.self))
			w.apply(storage.Transaction{ID: id, Conditions: []storage.Condition{{Key: r.Key, Version: r.Version}}, Puts: []storage.Put{{Key: r.Key, Value: value}}})
		}
		return
	}
	lot := w.rows[LotKey("ws", row.Lot)]
	next, bills := Reclaim(Rows{Grant: row, GrantVersion: r.Version, Lot: decode[LotRow](lot), LotVersion: lot.Version}, w.gather(row.ID))
	wr := ReclaimWrite(id, next, bills)
	w.objects[wr.BatchID] = wr.BatchBody
	if lostAnswer {
		w.later = append(w.later, wr.Txn)
		return
	}
	w.apply(wr.Txn)
}

func (w *world) gather(grant string) Gathered {
	w.fenced[grant] = true
	g := Gathered{Lost: w.lost}
	for _, id := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[id]
		switch {
		case r.slot.Grant != grant || !r.kept:
		case r.finished:
			g.Bills = append(g.Bills, r.bill())
		default:
			g.Running = append(g.Running, OpenSlot{Sequence: r.slot.Sequence, Credits: r.credits, Key: r.key})
		}
	}
	return g
}

// late hands a receipt to a process that finds its grant gathered already.
func (w *world) late() {
	r := w.someRun("late", func(r *run) bool { return r.finished })
	if r == nil {
		return
	}
	g := w.rows[GrantKey("ws", r.slot.Lot, r.slot.Grant)]
	row := decode[GrantRow](g)
	if !row.Gathered {
		return
	}
	lot := w.rows[LotKey("ws", r.slot.Lot)]
	next, bills, err := BillLate(Rows{Grant: row, GrantVersion: g.Version, Lot: decode[LotRow](lot), LotVersion: lot.Version}, []Bill{r.bill()})
	if err != nil {
		w.t.Fatalf("late receipt does not fit: %v", err)
	}
	w.writes++
	wr := ReclaimWrite(fmt.Sprintf("late.%d", w.writes), next, bills)
	w.objects[wr.BatchID] = wr.BatchBody
	w.apply(wr.Txn)
}

// hand passes the grants of one home to the other; the message may be lost.
func (w *world) hand(from *home, lost bool) {
	out := from.book.Export("ws")
	for _, t := range out {
		w.passed[t.ID] = true
	}
	if !lost {
		w.imports = append(w.imports, out...)
	}
}

func (w *world) adopt(h *home) {
	if len(w.imports) == 0 || h.inFlight != nil {
		return
	}
	t := w.imports[0]
	w.imports = w.imports[1:]
	if h.book.Listed("ws").IsZero() {
		w.observe(h)
	}
	r := w.rows[GrantKey("ws", t.Lot, t.ID)]
	h.inFlight = h.book.PlanAdopt(t, decode[GrantRow](r), r.Version)
}

// loseAgent lets an agent die with the runs it keeps, half of all.
func (w *world) loseAgent() {
	w.lost = true
	for _, r := range w.runs {
		if r.kept && r.slot.Sequence%2 == 0 {
			if !r.finished {
				r.usage = r.credits // It may have used all of its reservation.
			}
			r.vanished = true
			r.kept = false
			r.finished = true
		}
	}
}
