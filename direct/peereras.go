package direct

import (
	"time"

	"jackdawswitch/prepaid"
)

// maxEraWait is how long a router waits in a new era of the table service for routers that
// don't say that they have written again what they know. It is longer than the cuts and
// restarts of the deployments take. A router that is silent for longer is given up: if it
// still runs and holds a grant that the table service lost, others may be granted that part
// of the budget too.
const maxEraWait = 30 * time.Second

// maxLeavingTime is longer than a router takes from its announcement to leave until its end.
// After that its record may stay for good.
const maxLeavingTime = 15 * time.Second

// peerEras is what the other routers' records say about eras of the table service.
type peerEras struct {
	// listed is the highest era in which the whole table of records was read.
	listed uint64
	// awaited is the era that is waited for, since awaitedSince. givenUp is set once the
	// routers that are silent in it were given up.
	awaited      uint64
	awaitedSince time.Time
	givenUp      bool
}

var _ prepaid.Others = (*peers)(nil)

// RouterRecordsListed records that all router records were read in an era.
func (r *Router) RouterRecordsListed(era uint64) {
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	r.peers.eras.listed = max(r.peers.eras.listed, era)
}

// recordProgress records the progress that the record of a VM's router states.
func (p *peers) recordProgress(vm string, progress prepaid.EraProgress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[vm]; known != nil && progress.Reached(known.progress) {
		known.progress = progress
	}
}

// OthersReached implements prepaid.Others.
func (p *peers) OthersReached(progress prepaid.EraProgress) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.eras.listed < progress.Era {
		return false
	}
	if p.eras.awaited != progress.Era {
		p.eras = peerEras{listed: p.eras.listed, awaited: progress.Era, awaitedSince: time.Now()}
	}
	var silent []string
	for vm, known := range p.known {
		if known.progress == (prepaid.EraProgress{Era: progress.Era, Rounds: prepaid.Settled}) {
			return true
		}
		ended := known.leaving && time.Since(known.leavingSince) > maxLeavingTime
		if !known.progress.Reached(progress) && !ended {
			silent = append(silent, vm)
		}
	}
	if len(silent) > 0 && time.Since(p.eras.awaitedSince) < maxEraWait {
		return false
	}
	if len(silent) > 0 && !p.eras.givenUp {
		p.eras.givenUp = true
		p.logger.Error("routers don't say that they know of the table's new era; they are given up and credit is granted without them",
			"era", progress.Era, "rounds", progress.Rounds, "vms", silent, "waited", maxEraWait.String())
	}
	return true
}

// tableEra returns the highest era in any answer of the table service, 0 if it has none.
func (r *Router) tableEra() uint64 {
	if table, ok := r.opts.Table.(prepaid.Eras); ok {
		return table.Era()
	}
	return 0
}

// isCopy reports whether the record of a process may be an older one of the VM on which
// another process is known to run: the table came back from a copy since the records were
// last listed, and the record is of an earlier era. A process that was replaced writes
// its record again in the present era.
func (p *peers) isCopy(id prepaid.ProcessID, era, tableEra uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[id.VM]
	return known != nil && known.id != id && p.eras.listed != 0 && p.eras.listed < tableEra && era < tableEra
}
