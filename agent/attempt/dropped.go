package attempt

import "github.com/zeebo/xxh3"

// droppedGenerationLimit bounds the attempts in one generation of droppedIDs.
const droppedGenerationLimit = 1 << 17

// droppedIDs holds hashes of the IDs of recently dropped attempts, so that an
// attempt that ran is not mistaken for one that has not arrived. It keeps two
// generations, and so at least the last droppedGenerationLimit IDs.
type droppedIDs struct {
	current, previous map[uint64]struct{}
}

func newDroppedIDs() droppedIDs {
	return droppedIDs{current: make(map[uint64]struct{})}
}

func (d *droppedIDs) add(id string) {
	if len(d.current) >= droppedGenerationLimit {
		d.previous = d.current
		d.current = make(map[uint64]struct{})
	}
	d.current[xxh3.HashString(id)] = struct{}{}
}

func (d *droppedIDs) has(id string) bool {
	hash := xxh3.HashString(id)
	_, current := d.current[hash]
	_, previous := d.previous[hash]
	return current || previous
}
