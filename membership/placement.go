package membership

import (
	"cmp"
	"slices"
	"strconv"

	"jackdawswitch/rendezvous"
)

func partitionKey(workspace string, partition uint32) uint64 {
	return rendezvous.Hash(workspace + "/" + strconv.FormatUint(uint64(partition), 10))
}

// Home returns the router of the own region that is the home of a partition:
// the one that comes first by rendezvous hash among those that are live, ready
// and not leaving.
func (v *View) Home(workspace string, partition uint32) (Member, bool) {
	key := partitionKey(workspace, partition)
	var best *record
	var bestScore uint64
	for _, rec := range v.routers {
		if !v.mayBeHome(rec) {
			continue
		}
		s := rendezvous.Score(key, rec.hash)
		if best == nil || s > bestScore {
			best, bestScore = rec, s
		}
	}
	if best == nil {
		return Member{}, false
	}
	return v.described(best), true
}

// Homes returns up to n routers of the own region that may be home of a
// partition, in the order in which they take over from each other.
func (v *View) Homes(workspace string, partition uint32, n int) []Member {
	key := partitionKey(workspace, partition)
	var recs []*record
	for _, rec := range v.routers {
		if v.mayBeHome(rec) {
			recs = append(recs, rec)
		}
	}
	slices.SortFunc(recs, func(a, b *record) int {
		return cmp.Compare(rendezvous.Score(key, b.hash), rendezvous.Score(key, a.hash))
	})
	members := make([]Member, 0, n)
	for _, rec := range recs[:min(n, len(recs))] {
		members = append(members, v.described(rec))
	}
	return members
}

func (v *View) described(rec *record) Member {
	if rec.member.VM() == v.self.VM() {
		return v.Self()
	}
	return rec.member
}

func (v *View) mayBeHome(rec *record) bool {
	if !v.isPeer(rec) || rec.leaving() || !v.live(rec) {
		return false
	}
	m := v.described(rec)
	return m.Ready && !m.Leaving
}
