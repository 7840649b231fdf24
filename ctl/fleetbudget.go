package ctl

import (
	"slices"

	"jackdawswitch/direct"
)

// BudgetHolder is a router's account of a workspace.
type BudgetHolder struct {
	VM string `json:"vm"`
	direct.CreditAccount
}

// FleetBudget is a workspace's budget by holder. Amounts are in tokens. The routers are
// asked one by one, so that the sums are not of one moment.
type FleetBudget struct {
	Workspace string `json:"workspace"`
	// Budgets are the different budgets that routers know; one if they agree.
	Budgets []int64 `json:"budgets"`
	// Holders are the routers with a grant or a reservation.
	Holders []BudgetHolder `json:"holders"`
	// Granted, Unspent, Reserved and Rate are sums over the holders that answered.
	Granted  int64   `json:"granted"`
	Unspent  int64   `json:"unspent"`
	Reserved int64   `json:"reserved"`
	Rate     float64 `json:"tokensPerSecond"`
	// Unanswered are the routers without an answer, whose grants are missing in the sums.
	Unanswered []string `json:"unanswered"`
}

func newFleetBudget(workspace string, routers []FleetRouter) FleetBudget {
	b := FleetBudget{Workspace: workspace, Budgets: []int64{}, Holders: []BudgetHolder{}, Unanswered: unanswered(routers)}
	for _, r := range routers {
		if r.Dump == nil {
			continue
		}
		for _, account := range r.Dump.Credit {
			if account.Workspace == workspace {
				b.add(r.Dump.VM, account)
			}
		}
	}
	slices.Sort(b.Budgets)
	b.Budgets = slices.Compact(b.Budgets)
	return b
}

func (b *FleetBudget) add(vm string, account direct.CreditAccount) {
	b.Budgets = append(b.Budgets, account.Budget)
	if account.Amount == 0 && account.Reserved == 0 {
		return
	}
	b.Holders = append(b.Holders, BudgetHolder{VM: vm, CreditAccount: account})
	b.Granted += account.Amount
	b.Unspent += account.Unspent
	b.Reserved += account.Reserved
	b.Rate += account.Rate
}

func (t *Tool) showBudget(b FleetBudget) error {
	if t.flags.jsonOutput {
		return t.printJSON(b)
	}
	if len(b.Budgets) == 0 {
		if err := t.print("no router that answered knows the workspace %s\n", b.Workspace); err != nil {
			return err
		}
	}
	if len(b.Budgets) > 1 {
		if err := t.print("routers disagree on the budget\n"); err != nil {
			return err
		}
	}
	for _, budget := range b.Budgets {
		if err := t.print("workspace %s: budget %d\n", b.Workspace, budget); err != nil {
			return err
		}
	}
	if err := t.printTable(b.print); err != nil {
		return err
	}
	for _, address := range b.Unanswered {
		if err := t.print("not in the sums, as it gave no state: %s\n", address); err != nil {
			return err
		}
	}
	return nil
}

func (b *FleetBudget) print(t *Tool) error {
	if err := t.print("HOLDER\tBUDGET\tGRANTED\tUNSPENT\tRESERVED\tUNGRANTED\tTOKENS/S\tROW AGE\tSTATEMENT AGE\n"); err != nil {
		return err
	}
	for _, h := range b.Holders {
		if err := t.print("%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1fs\t%.1fs\n", h.VM, h.Budget, h.Amount, h.Unspent, h.Reserved, h.Ungranted, h.Rate,
			float64(h.RowAgeMS)/1e3, float64(h.StatementAgeMS)/1e3); err != nil {
			return err
		}
	}
	return t.print("sum of %d\t\t%d\t%d\t%d\t\t%.0f\t\t\n", len(b.Holders), b.Granted, b.Unspent, b.Reserved, b.Rate)
}
