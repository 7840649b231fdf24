package ledger

// SlotSet is a set of slot sequences of one grant. The zero value is empty.
type SlotSet struct {
	// Below is the exclusive upper bound of the contiguous sequences from 0 that
	// the set contains.
	Below uint64 `json:"below"`
	// Ranges holds the members above Below as sorted, disjoint pairs of the first
	// and last sequence, both inclusive. Adjacent ranges are merged.
	Ranges [][2]uint64 `json:"ranges,omitempty"`
}

// Has reports whether the sequence is in the set.
func (s *SlotSet) Has(seq uint64) bool {
	if seq < s.Below {
		return true
	}
	i := s.search(seq)
	return i < len(s.Ranges) && s.Ranges[i][0] <= seq
}

// search returns the index of the first range that ends at or after seq.
func (s *SlotSet) search(seq uint64) int {
	lo, hi := 0, len(s.Ranges)
	for lo < hi {
		mid := (lo + hi) / 2
		if s.Ranges[mid][1] < seq {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// Add adds the sequence to the set.
func (s *SlotSet) Add(seq uint64) {
	if s.Has(seq) {
		return
	}
	if seq == s.Below {
		s.Below++
		s.absorbRanges()
		return
	}
	i := s.search(seq)
	joinsLeft := i > 0 && s.Ranges[i-1][1]+1 == seq
	joinsRight := i < len(s.Ranges) && s.Ranges[i][0] == seq+1
	switch {
	case joinsLeft && joinsRight:
		s.Ranges[i-1][1] = s.Ranges[i][1]
		s.Ranges = append(s.Ranges[:i], s.Ranges[i+1:]...)
	case joinsLeft:
		s.Ranges[i-1][1] = seq
	case joinsRight:
		s.Ranges[i][0] = seq
	default:
		s.Ranges = append(s.Ranges, [2]uint64{})
		copy(s.Ranges[i+1:], s.Ranges[i:])
		s.Ranges[i] = [2]uint64{seq, seq}
	}
}

// absorbRanges raises Below over the ranges that are now contiguous with it.
func (s *SlotSet) absorbRanges() {
	for len(s.Ranges) > 0 && s.Ranges[0][0] == s.Below {
		s.Below = s.Ranges[0][1] + 1
		s.Ranges = s.Ranges[1:]
	}
}

// Clone returns a deep copy of the set.
func (s *SlotSet) Clone() SlotSet {
	return SlotSet{Below: s.Below, Ranges: append([][2]uint64(nil), s.Ranges...)}
}
