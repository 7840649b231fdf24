package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"jackdawswitch/direct"
)

// AvoidedState is why routers send nothing, or little, to an endpoint or failure domain.
type AvoidedState string

// The states. Cold endpoints get a bounded rate, the others nothing.
const (
	StateEvacuated AvoidedState = "evacuated"
	StateCold      AvoidedState = "cold"
	StateLeaving   AvoidedState = "leaving"
	StatePaused    AvoidedState = "paused"
	StateReplaced  AvoidedState = "replaced"
)

// maxNamedRouters bounds the routers that a line of the table names.
const maxNamedRouters = 6

// Avoided is a failure domain (if evacuated) or an endpoint in a state, with the VMs of the
// routers that say so.
type Avoided struct {
	State   AvoidedState `json:"state"`
	Name    string       `json:"name"`
	Routers []string     `json:"routers"`
	// RemainingMS is the longest that a router will keep to it, in milliseconds; 0 if it has
	// no end.
	RemainingMS int64 `json:"remainingMs"`
}

// FleetAvoided is what routers avoid. Answered is the number of those that gave their state.
type FleetAvoided struct {
	Answered   int       `json:"answered"`
	Avoided    []Avoided `json:"avoided"`
	Unanswered []string  `json:"unanswered"`
}

type avoidedKey struct {
	state AvoidedState
	name  string
}

func newFleetAvoided(routers []FleetRouter) FleetAvoided {
	found := make(map[avoidedKey]*Avoided)
	for _, r := range routers {
		if r.Dump != nil {
			addAvoided(found, r.Dump)
		}
	}
	missing := unanswered(routers)
	out := FleetAvoided{Answered: len(routers) - len(missing), Avoided: []Avoided{}, Unanswered: missing}
	for a := range maps.Values(found) {
		out.Avoided = append(out.Avoided, *a)
	}
	slices.SortFunc(out.Avoided, func(a, b Avoided) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// addAvoided adds what one router avoids.
func addAvoided(found map[avoidedKey]*Avoided, d *direct.Dump) {
	add := func(state AvoidedState, name string, remainingMS int64) {
		key := avoidedKey{state: state, name: name}
		if found[key] == nil {
			found[key] = &Avoided{State: state, Name: name}
		}
		a := found[key]
		a.RemainingMS = max(a.RemainingMS, remainingMS)
		if len(a.Routers) == 0 || a.Routers[len(a.Routers)-1] != d.VM {
			a.Routers = append(a.Routers, d.VM)
		}
	}
	for _, e := range d.Evacuated {
		add(StateEvacuated, e.FailureDomain, 0)
	}
	for _, c := range d.Cold {
		add(StateCold, c.Endpoint, c.ColdForMS)
	}
	for _, n := range d.Notices {
		if n.Leaving {
			add(StateLeaving, n.ID, 0)
		}
		if n.PauseMS > 0 {
			add(StatePaused, n.ID, n.PauseMS)
		}
		if n.ReplacedMS > 0 {
			add(StateReplaced, n.ID, n.ReplacedMS)
		}
	}
}

func (t *Tool) showAvoided(f FleetAvoided) error {
	if t.flags.jsonOutput {
		return t.printJSON(f)
	}
	if err := t.printTable(f.print); err != nil {
		return err
	}
	for _, address := range f.Unanswered {
		if err := t.print("no state of %s\n", address); err != nil {
			return err
		}
	}
	return nil
}

func (f *FleetAvoided) print(t *Tool) error {
	if err := t.print("STATE\tNAME\tREMAINING\tROUTERS\n"); err != nil {
		return err
	}
	for _, a := range f.Avoided {
		names := strings.Join(a.Routers[:min(len(a.Routers), maxNamedRouters)], ", ")
		if len(a.Routers) > maxNamedRouters {
			names += ", ..."
		}
		remaining := "-"
		if a.RemainingMS > 0 {
			remaining = fmt.Sprintf("%.1fs", float64(a.RemainingMS)/1e3)
		}
		if err := t.print("%s\t%s\t%s\t%d of %d: %s\n", a.State, a.Name, remaining,
			len(a.Routers), f.Answered, names); err != nil {
			return err
		}
	}
	return nil
}
