package membership

import (
	"cmp"
	"slices"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/invariant"
	"jackdawswitch/rendezvous"
)

const (
	// DefaultHeartbeatInterval is the time between two heartbeats of a pair.
	DefaultHeartbeatInterval = time.Second
	// DefaultSuspectAfter is the silence after which a member is not live.
	DefaultSuspectAfter = 4 * time.Second
	// DefaultListLag bounds how old the platform's VM list may be.
	DefaultListLag = 30 * time.Second

	// pairsPerSecond bounds the heartbeats that one router takes part in.
	pairsPerSecond = 36
	// suspectIntervals is the least number of intervals of silence after which
	// a member is not live.
	suspectIntervals = 3

	maxHoldDown    = 32 * time.Second
	lossForgetting = 5 * time.Minute
	maxLosses      = 5
)

// Options configure a View.
type Options struct {
	// Self is the process that holds the view.
	Self              Member
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	ListLag           time.Duration
	// Reporters bounds the routers of its region that one agent reports to;
	// see View.Reporters.
	Reporters int
}

func (o *Options) setDefaults() {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.ListLag = cmp.Or(o.ListLag, DefaultListLag)
	o.Reporters = cmp.Or(o.Reporters, DefaultReporters)
}

// View is one process's view of the others.
type View struct {
	opts Options
	self Member
	now  time.Time
	// settled is when the process counts itself live; see Tick.
	settled time.Time
	started bool
	records map[string]*record
	// routers holds the records of routers, in order of VM.
	routers []*record
	// peers is the number of routers of the own region, itself included.
	peers     int
	endpoints map[string]*Endpoint
	counts    map[serviceRegion]int
	subset    int
	// listAt is the platform's time of the newest list taken in.
	listAt       time.Time
	ignoredLists int
	notes        []note
}

// Interval is the time between two heartbeats of a pair of routers. It grows
// with the number of routers in the region, so that a router's heartbeats cost
// no more in a large region.
func (v *View) Interval() time.Duration {
	spread := time.Duration(v.peers) * time.Second / pairsPerSecond
	return max(v.opts.HeartbeatInterval, spread)
}

// suspectAfter is the silence after which a router is not live.
func (v *View) suspectAfter() time.Duration {
	return max(v.opts.SuspectAfter, suspectIntervals*v.Interval())
}

// New returns the view of a process that knows only itself.
func New(opts Options) *View {
	opts.setDefaults()
	v := &View{
		opts:      opts,
		self:      opts.Self,
		records:   make(map[string]*record),
		endpoints: make(map[string]*Endpoint),
		counts:    make(map[serviceRegion]int),
	}
	own := v.record(opts.Self.VM())
	v.describe(own, opts.Self)
	own.known = opts.Self.ID.GetIncarnation()
	own.registered = true
	return v
}

// Self returns what the process says of itself in heartbeats. It is not ready
// before it has settled.
func (v *View) Self() Member {
	self := v.self
	self.Ready = self.Ready && v.Settled()
	return self
}

// SetSelf replaces what the process says of itself; the identity stays.
func (v *View) SetSelf(ready, leaving bool, configVersion uint64) {
	v.self.Ready = ready
	v.self.Leaving = leaving
	v.self.ConfigVersion = configVersion
}

// Tick moves the view's time. When the process itself was stopped for longer
// than the silence that others tolerate, they have replaced it, so it counts
// itself out until it has heard them again.
func (v *View) Tick(now time.Time) {
	stopped := v.started && now.Sub(v.now) > v.suspectAfter()
	if !v.started || stopped {
		v.settled = now.Add(v.suspectAfter())
		v.started = true
	}
	if now.After(v.now) {
		v.now = now
	}
	for _, rec := range v.routers {
		v.markLost(rec)
	}
}

// Settled reports whether the process has listened for long enough to know
// which routers are live.
func (v *View) Settled() bool {
	if !v.started {
		return false
	}
	return !v.now.Before(v.settled) || v.heardAll()
}

// heardAll reports whether every other router of the region that the VM list
// has as live was heard since the view settled last.
func (v *View) heardAll() bool {
	if v.listAt.IsZero() {
		return false
	}
	since := v.settled.Add(-v.suspectAfter())
	for _, rec := range v.routers {
		if rec.member.VM() == v.self.VM() || !v.isPeer(rec) || rec.listed != listedLive {
			continue
		}
		if rec.heard.Before(since) || rec.heard.IsZero() {
			return false
		}
	}
	return true
}

// isPeer reports whether a router is of the own region.
func (v *View) isPeer(rec *record) bool { return v.isRegion(rec.member) }

func (v *View) isRegion(m Member) bool { return m.Region == v.self.Region }

// describe sets what a VM says of itself, or the register of it.
func (v *View) describe(rec *record, m Member) {
	was := rec.member
	wasRouter := was.Role == config.RoleRouter
	rec.member = m
	isRouter := m.Role == config.RoleRouter
	if wasRouter && v.isRegion(was) {
		v.peers--
	}
	if isRouter && v.isRegion(m) {
		v.peers++
	}
	if isRouter == wasRouter {
		return
	}
	at, _ := slices.BinarySearchFunc(v.routers, rec, byVM)
	if isRouter {
		v.routers = slices.Insert(v.routers, at, rec)
		return
	}
	v.routers = slices.Delete(v.routers, at, at+1)
}

func byVM(a, b *record) int { return cmp.Compare(a.member.VM(), b.member.VM()) }

func (v *View) record(vm string) *record {
	rec := v.records[vm]
	if rec == nil {
		rec = &record{hash: rendezvous.Hash(vm), listed: listedNever}
		rec.member.ID = processID(vm, 0)
		v.records[vm] = rec
	}
	return rec
}

// Heartbeat takes in that a member was heard, by its call or by its answer to
// one. What an older incarnation says is ignored.
func (v *View) Heartbeat(now time.Time, m Member) {
	vm, incarnation := m.VM(), m.ID.GetIncarnation()
	if vm == v.self.VM() {
		return
	}
	if v.started {
		v.Tick(now)
	}
	rec := v.record(vm)
	if incarnation < rec.known || incarnation <= rec.deadThrough {
		return
	}
	invariant.Assert(rec.deadThrough < incarnation, "membership-dead-stays-dead", "vm", vm)
	if incarnation > rec.known {
		rec.known = incarnation
		rec.losses = 0
	}
	v.markLost(rec)
	if rec.lost {
		rec.lost = false
		rec.backAt = now.Add(v.holdDown(rec))
	}
	v.describe(rec, m)
	rec.heard = now
	rec.absentAt = time.Time{}
}

func (v *View) markLost(rec *record) {
	if rec.heard.IsZero() {
		return
	}
	silence := v.now.Sub(rec.heard)
	if silence > lossForgetting {
		rec.losses = 0
	}
	if rec.lost || silence <= v.suspectAfter() {
		return
	}
	rec.lost = true
	rec.losses = min(rec.losses+1, maxLosses)
}

// holdDown is how long a member that was lost must be heard before it counts
// as live again; it doubles with each loss, so that a flapping member moves
// its partitions seldom.
func (v *View) holdDown(rec *record) time.Duration {
	if rec.losses < 2 {
		return 0
	}
	hold := v.Interval() << rec.losses
	return min(hold, maxHoldDown)
}

// live reports whether a member was heard lately and is not held down.
func (v *View) live(rec *record) bool {
	if rec.member.VM() == v.self.VM() {
		return true
	}
	if rec.heard.IsZero() || rec.lost {
		return false
	}
	return v.now.Sub(rec.heard) <= v.suspectAfter() && !v.now.Before(rec.backAt)
}

// Members returns the live members of a role, in order of VM.
func (v *View) Members(role config.VMRole) []Member {
	var members []Member
	for vm, rec := range v.records {
		if rec.member.Role != role || !v.live(rec) {
			continue
		}
		m := rec.member
		if vm == v.self.VM() {
			m = v.Self()
		}
		m.Leaving = m.Leaving || rec.leaving()
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM(), b.VM()) })
	return members
}

// Peers returns the routers of the own region that the register names, or that
// were heard, apart from the process itself, in order of VM.
func (v *View) Peers() []Member {
	var peers []Member
	for _, rec := range v.routers {
		if rec.member.VM() == v.self.VM() || !v.isPeer(rec) || rec.member.Address == "" {
			continue
		}
		if rec.registered || v.live(rec) {
			peers = append(peers, rec.member)
		}
	}
	return peers
}

// Heard returns when a VM was last heard, zero for never.
func (v *View) Heard(vm string) time.Time {
	rec := v.records[vm]
	if rec == nil {
		return time.Time{}
	}
	return rec.heard
}

// Dump returns the state of every VM that was heard or is a router.
func (v *View) Dump() []Status {
	var states []Status
	for vm, rec := range v.records {
		if rec.heard.IsZero() && rec.member.Role != config.RoleRouter {
			continue
		}
		states = append(states, Status{
			VM: vm, Role: string(rec.member.Role), Incarnation: rec.known,
			Live: v.live(rec), Ready: rec.member.Ready, Leaving: rec.leaving(),
			Registered: rec.registered, Listed: string(rec.listed), Heard: rec.heard,
			DeadThrough: rec.deadThrough, Losses: rec.losses,
		})
	}
	slices.SortFunc(states, func(a, b Status) int { return cmp.Compare(a.VM, b.VM) })
	return states
}
