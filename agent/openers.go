package agent

import (
	"sync"

	pb "jackdawswitch/api/jackdawv1"
)

// maxOpeners bounds the router processes that openers remembers: 360 routers, each started
// some times. Without an entry a grant's remainder may be billed as unresolved.
const maxOpeners = 4096

// opener identifies a router process.
type opener struct {
	vm          string
	incarnation uint64
}

// openers remembers for router processes the number of the first grant that they opened
// after this agent's process had started, as far as the agent knows: the lowest next grant
// that they told. It is safe for concurrent use.
type openers struct {
	mu   sync.Mutex
	next map[opener]uint64
}

func newOpeners() openers { return openers{next: make(map[opener]uint64)} }

func openerOf(id *pb.ProcessId) opener {
	return opener{vm: id.GetVm(), incarnation: id.GetIncarnation()}
}

// record records the next grant of a process; 0 is ignored.
func (o *openers) record(id *pb.ProcessId, next uint64) {
	if next == 0 || id == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	key := openerOf(id)
	lowest, known := o.next[key]
	if !known && len(o.next) >= maxOpeners {
		o.dropEarliest()
	}
	if !known || next < lowest {
		o.next[key] = next
	}
}

// dropEarliest forgets the process with the earliest start.
func (o *openers) dropEarliest() {
	var earliest opener
	for key := range o.next {
		if earliest == (opener{}) || key.incarnation < earliest.incarnation {
			earliest = key
		}
	}
	delete(o.next, earliest)
}

// nextGrant returns the lowest next grant that the process told; 0 for none.
func (o *openers) nextGrant(id *pb.ProcessId) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.next[openerOf(id)]
}
