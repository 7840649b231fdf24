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

// Home returns the home of a partition: of the routers in the local region that are
// live, ready and not leaving, the one with the highest rendezvous score.
func (v *View) Home(workspace string, partition uint32) (Member, bool) {
	key := partitionKey(workspace, partition)
	var best *record
	var bestScore uint64
	for _, rec := range v.routers {
		if !v.canBeHome(rec) {
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
	return v.currentMember(best), true
}

// HomeCandidates returns up to n routers of the local region that can be the home of a
// partition, in the order in which they take over from each other.
func (v *View) HomeCandidates(workspace string, partition uint32, n int) []Member {
	key := partitionKey(workspace, partition)
	var recs []*record
	for _, rec := range v.routers {
		if v.canBeHome(rec) {
			recs = append(recs, rec)
		}
	}
	slices.SortFunc(recs, func(a, b *record) int {
		return cmp.Compare(rendezvous.Score(key, b.hash), rendezvous.Score(key, a.hash))
	})
	members := make([]Member, 0, n)
	for _, rec := range recs[:min(n, len(recs))] {
		members = append(members, v.currentMember(rec))
	}
	return members
}

// currentMember returns the state of a VM. For this process it is the state that it
// reports about itself.
func (v *View) currentMember(rec *record) Member {
	if rec.member.VM() == v.self.VM() {
		return v.Self()
	}
	return rec.member
}

func (v *View) canBeHome(rec *record) bool {
	if !v.isLocal(rec) || rec.isLeaving() || !v.live(rec) {
		return false
	}
	m := v.currentMember(rec)
	return m.Ready && !m.Leaving
}
