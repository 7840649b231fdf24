package attempt

import "github.com/zeebo/xxh3"

// droppedGenerationLimit bounds the attempts in one generation of droppedIDs.
const droppedGenerationLimit = 1 << 17

// droppedIDs holds hashes of the ids of recently dropped attempts, so that an
// attempt that ran is not mistaken for one that has not arrived. It keeps two
// generations, and so at least the last droppedGenerationLimit ids.
type droppedIDs struct {
	current, previous map[uint64]struct{}
}

func newDroppedIDs() droppedIDs {
	return droppedIDs{current: make(map[uint64]struct{})}
}

func (f *droppedIDs) add(id string) {
	if len(f.current) >= droppedGenerationLimit {
		f.previous = f.current
		f.current = make(map[uint64]struct{})
	}
	f.current[xxh3.HashString(id)] = struct{}{}
}

func (f *droppedIDs) has(id string) bool {
	hash := xxh3.HashString(id)
	_, current := f.current[hash]
	_, previous := f.previous[hash]
	return current || previous
}
