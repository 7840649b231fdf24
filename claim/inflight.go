package claim

import (
	"jackdawswitch/invariant"
	"jackdawswitch/limit"
)

// AddInFlight counts the entry of key as in flight and stores charge, which is what
// its request took from the workspace's rate limits. It does nothing if key has no entry.
func (t *Table) AddInFlight(key Key, charge limit.Charge) {
	e := t.lookup(key)
	if e == nil {
		return
	}
	e.charge = charge
	t.addInFlight(e)
}

// InFlight returns the number of entries of a partition that are in flight. An
// entry is counted until it finishes or is removed, or until
// Policy.OverdueDelay after its deadline.
func (t *Table) InFlight(workspace string, partition uint32) int {
	ws := t.workspaces[workspace]
	if ws == nil {
		return 0
	}
	return ws.inFlight[partition]
}

func (t *Table) addInFlight(e *entry) {
	if e.inFlight {
		return
	}
	e.inFlight = true
	t.workspaces[e.key.Workspace].inFlight[e.partition]++
}

func (t *Table) removeInFlight(e *entry) {
	if !e.inFlight {
		return
	}
	e.inFlight = false
	inFlight := t.workspaces[e.key.Workspace].inFlight
	invariant.Assert(inFlight[e.partition] > 0, "claim-occupied", "workspace", e.key.Workspace)
	inFlight[e.partition]--
	if inFlight[e.partition] == 0 {
		delete(inFlight, e.partition)
	}
}
