package prepaid

import (
	"cmp"
	"slices"

	"jackdawswitch/rendezvous"
)

// Few holders a workspace keep its credit in few pieces, and bound the writes to its
// account whatever the size of the fleet. Requests at other routers reserve their credit
// at a holder.
const (
	// minHolders is the number of holders that a workspace has at least, if there are as
	// many routers. Enough are left when some die, and the share of the credit that one
	// holds, which can't be spent until its successor runs, is small.
	minHolders = 5

	// maxAssigned is the mean number of accounts a router above which no account is
	// assigned: grants are then opened on demand.
	maxAssigned = 64
)

// Member is a router that can hold grants.
type Member struct {
	VM            string
	FailureDomain string
	hash          uint64
}

// NewMember returns the router on a VM in a failure domain.
func NewMember(vm, failureDomain string) Member {
	return Member{VM: vm, FailureDomain: failureDomain, hash: rendezvous.Hash(vm)}
}

// Fleet is the set of routers among which the workspaces are divided. Routers that know
// the same members choose the same holders. It is immutable.
type Fleet struct {
	// domains are the members by failure domain.
	domains   [][]Member
	perDomain int
	size      int
}

// NewFleet returns the fleet of the given routers.
func NewFleet(members []Member) *Fleet {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.VM, b.VM))
	})
	f := &Fleet{size: len(members)}
	for len(members) > 0 {
		n := 0
		for n < len(members) && members[n].FailureDomain == members[0].FailureDomain {
			n++
		}
		f.domains = append(f.domains, members[:n])
		members = members[n:]
	}
	if n := len(f.domains); n > 0 {
		f.perDomain = (minHolders + n - 1) / n
	}
	return f
}

// Holders returns the holders of a workspace, the same number in each failure domain if
// it has as many routers.
func (f *Fleet) Holders(workspace string) []Member {
	key := rendezvous.Hash(workspace)
	out := make([]Member, 0, f.perDomain*len(f.domains))
	for _, domain := range f.domains {
		out = appendBest(out, key, domain, f.perDomain)
	}
	return out
}

// appendBest appends the n members with the highest scores for a key.
func appendBest(out []Member, key uint64, members []Member, n int) []Member {
	start := len(out)
	for _, m := range members {
		out = append(out, m)
		for i := len(out) - 1; i > start && rendezvous.Score(key, out[i].hash) > rendezvous.Score(key, out[i-1].hash); i-- {
			out[i], out[i-1] = out[i-1], out[i]
		}
		out = out[:min(len(out), start+n)]
	}
	return out
}

// Candidates returns the holders of a workspace in the order in which a router asks them
// for credit: those of its own failure domain first. The order among equals differs from
// router to router, which spreads the load.
func (f *Fleet) Candidates(workspace string, asking Member) []Member {
	out := f.Holders(workspace)
	slices.SortStableFunc(out, func(a, b Member) int {
		near, far := a.FailureDomain == asking.FailureDomain, b.FailureDomain == asking.FailureDomain
		if near != far {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous.Score(asking.hash, b.hash), rendezvous.Score(asking.hash, a.hash))
	})
	return out
}

// Size returns the number of routers.
func (f *Fleet) Size() int { return f.size }

// Assigned returns the workspaces of which a process is a holder, and the number of
// holders of each. It returns no workspaces if there are so many that each router would
// hold more than maxAssigned.
func (f *Fleet) Assigned(vm string, workspaces []string) (assigned []string, holders int) {
	perWorkspace := 0
	for _, domain := range f.domains {
		perWorkspace += min(f.perDomain, len(domain))
	}
	if len(workspaces)*perWorkspace > maxAssigned*f.size {
		return nil, perWorkspace
	}
	for _, workspace := range workspaces {
		if slices.ContainsFunc(f.Holders(workspace), func(m Member) bool { return m.VM == vm }) {
			assigned = append(assigned, workspace)
		}
	}
	return assigned, perWorkspace
}
