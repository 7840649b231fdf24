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
	// DefaultHeartbeatInterval is the time between two heartbeats of a pair of routers.
	DefaultHeartbeatInterval = time.Second
	// DefaultSuspectAfter is the silence after which a member is no longer live.
	DefaultSuspectAfter = 4 * time.Second
	// DefaultListLag is the maximum age of the data in the platform's VM list.
	DefaultListLag = 30 * time.Second

	// maxHeartbeatsPerSecond is the maximum rate of heartbeats, sent and received, of
	// one router.
	maxHeartbeatsPerSecond = 36
	// minSuspectIntervals is the minimum number of heartbeat intervals of silence after
	// which a router is no longer live.
	minSuspectIntervals = 3

	maxHoldDown = 32 * time.Second
	// lossResetAfter is the silence after which a member's losses are reset.
	lossResetAfter = 5 * time.Minute
	maxLosses      = 5
)

// Options configure a View. A zero duration or count takes its default.
type Options struct {
	// Self is the process that owns the view.
	Self              Member
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	ListLag           time.Duration
	// MinReportTargets is the minimum number of routers of its region that one agent
	// reports to; see View.ReportTargets.
	MinReportTargets int
}

func (o *Options) setDefaults() {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.ListLag = cmp.Or(o.ListLag, DefaultListLag)
	o.MinReportTargets = cmp.Or(o.MinReportTargets, DefaultMinReportTargets)
}

// View is one process's view of the other processes.
type View struct {
	opts Options
	self Member
	now  time.Time
	// settledAt is when the process counts as settled even if heartbeats of peers are
	// missing; see Settled.
	settledAt time.Time
	started   bool
	records   map[string]*record
	// routers holds the records of routers, sorted by VM.
	routers []*record
	// localRouters is the number of routers in the local region, including this process.
	localRouters   int
	endpoints      map[string]*Endpoint
	endpointCounts map[serviceRegion]int
	subsetSize     int
	// newestListAt is the platform time of the newest list applied.
	newestListAt  time.Time
	ignoredLists  int
	queuedNotices []queuedNotice
}

// HeartbeatInterval returns the time between two heartbeats of a pair of routers. It
// grows with the number of routers in the region to bound the heartbeat load of each.
func (v *View) HeartbeatInterval() time.Duration {
	spread := time.Duration(v.localRouters) * time.Second / maxHeartbeatsPerSecond
	return max(v.opts.HeartbeatInterval, spread)
}

// suspectAfter returns the silence after which a member is no longer live.
func (v *View) suspectAfter() time.Duration {
	return max(v.opts.SuspectAfter, minSuspectIntervals*v.HeartbeatInterval())
}

// New returns the view of a process that knows only itself.
func New(opts Options) *View {
	opts.setDefaults()
	v := &View{
		opts:           opts,
		self:           opts.Self,
		records:        make(map[string]*record),
		endpoints:      make(map[string]*Endpoint),
		endpointCounts: make(map[serviceRegion]int),
	}
	own := v.record(opts.Self.VM())
	v.setMember(own, opts.Self)
	own.maxIncarnation = opts.Self.ID.GetIncarnation()
	own.registered = true
	return v
}

// Self returns the state that this process reports in heartbeats. It is not ready until
// the view has settled.
func (v *View) Self() Member {
	self := v.self
	self.Ready = self.Ready && v.Settled()
	return self
}

// SetSelf sets the state that this process reports about itself, apart from its
// identity.
func (v *View) SetSelf(ready, leaving bool, configVersion uint64) {
	v.self.Ready = ready
	v.self.Leaving = leaving
	v.self.ConfigVersion = configVersion
}

// Tick advances the view's time. If the process was paused for longer than the silence
// that others tolerate, they have moved its partitions to other routers, so the view
// has to settle again before the process reports itself as ready.
func (v *View) Tick(now time.Time) {
	paused := v.started && now.Sub(v.now) > v.suspectAfter()
	if !v.started || paused {
		v.settledAt = now.Add(v.suspectAfter())
		v.started = true
	}
	if now.After(v.now) {
		v.now = now
	}
	for _, rec := range v.routers {
		v.markLost(rec)
	}
}

// Settled reports whether the process has received heartbeats for long enough to know
// which routers are live.
func (v *View) Settled() bool {
	if !v.started {
		return false
	}
	return !v.now.Before(v.settledAt) || v.hasHeartbeatsFromAllPeers()
}

// hasHeartbeatsFromAllPeers reports whether a heartbeat has arrived, since the view last
// started to settle, from every other router of the region that the VM list marks as
// live.
func (v *View) hasHeartbeatsFromAllPeers() bool {
	if v.newestListAt.IsZero() {
		return false
	}
	settlingSince := v.settledAt.Add(-v.suspectAfter())
	for _, rec := range v.routers {
		if rec.member.VM() == v.self.VM() || !v.isLocal(rec) || rec.listed != listedLive {
			continue
		}
		if rec.lastHeartbeat.Before(settlingSince) || rec.lastHeartbeat.IsZero() {
			return false
		}
	}
	return true
}

// isLocal reports whether a VM is in the local region.
func (v *View) isLocal(rec *record) bool { return v.isLocalRegion(rec.member) }

func (v *View) isLocalRegion(m Member) bool { return m.Region == v.self.Region }

// setMember replaces the state of a VM, as reported by itself or by the register, and
// updates the index of routers.
func (v *View) setMember(rec *record, m Member) {
	was := rec.member
	wasRouter := was.Role == config.RoleRouter
	rec.member = m
	isRouter := m.Role == config.RoleRouter
	if wasRouter && v.isLocalRegion(was) {
		v.localRouters--
	}
	if isRouter && v.isLocalRegion(m) {
		v.localRouters++
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

// record returns the record of a VM and creates it if there is none.
func (v *View) record(vm string) *record {
	rec := v.records[vm]
	if rec == nil {
		rec = &record{hash: rendezvous.Hash(vm), listed: listedNever}
		rec.member.ID = processID(vm, 0)
		v.records[vm] = rec
	}
	return rec
}

// RecordHeartbeat records a heartbeat that a member sent, or its response to one from
// this process. It ignores incarnations older than the newest one seen and incarnations
// that are dead.
func (v *View) RecordHeartbeat(now time.Time, m Member) {
	vm, incarnation := m.VM(), m.ID.GetIncarnation()
	if vm == v.self.VM() {
		return
	}
	if v.started {
		v.Tick(now)
	}
	rec := v.record(vm)
	if incarnation < rec.maxIncarnation || incarnation <= rec.deadThrough {
		return
	}
	invariant.Assert(rec.deadThrough < incarnation, "membership-dead-stays-dead", "vm", vm)
	if incarnation > rec.maxIncarnation {
		rec.maxIncarnation = incarnation
		rec.losses = 0
	}
	v.markLost(rec)
	if rec.lost {
		rec.lost = false
		rec.liveAgainAt = now.Add(v.holdDown(rec))
	}
	v.setMember(rec, m)
	rec.lastHeartbeat = now
	rec.unlistedSince = time.Time{}
}

// markLost marks a member as lost if it has been silent for too long.
func (v *View) markLost(rec *record) {
	if rec.lastHeartbeat.IsZero() {
		return
	}
	silence := v.now.Sub(rec.lastHeartbeat)
	if silence > lossResetAfter {
		rec.losses = 0
	}
	if rec.lost || silence <= v.suspectAfter() {
		return
	}
	rec.lost = true
	rec.losses = min(rec.losses+1, maxLosses)
}

// holdDown returns how long a member that was lost must keep sending heartbeats before
// it counts as live again. It doubles with each loss, so that a flapping member rarely
// moves its partitions.
func (v *View) holdDown(rec *record) time.Duration {
	if rec.losses < 2 {
		return 0
	}
	hold := v.HeartbeatInterval() << rec.losses
	return min(hold, maxHoldDown)
}

// live reports whether a member sent a heartbeat recently and its hold-down has ended.
func (v *View) live(rec *record) bool {
	if rec.member.VM() == v.self.VM() {
		return true
	}
	if rec.lastHeartbeat.IsZero() || rec.lost {
		return false
	}
	return v.now.Sub(rec.lastHeartbeat) <= v.suspectAfter() && !v.now.Before(rec.liveAgainAt)
}

// Members returns the live members with a role, sorted by VM.
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
		m.Leaving = m.Leaving || rec.isLeaving()
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM(), b.VM()) })
	return members
}

// Peers returns the other routers of the local region that are registered or live and
// have a known address, sorted by VM.
func (v *View) Peers() []Member {
	var peers []Member
	for _, rec := range v.routers {
		if rec.member.VM() == v.self.VM() || !v.isLocal(rec) || rec.member.Address == "" {
			continue
		}
		if rec.registered || v.live(rec) {
			peers = append(peers, rec.member)
		}
	}
	return peers
}

// LastHeartbeat returns the local time of the last heartbeat of a VM, zero if there was
// none.
func (v *View) LastHeartbeat(vm string) time.Time {
	rec := v.records[vm]
	if rec == nil {
		return time.Time{}
	}
	return rec.lastHeartbeat
}

// Dump returns the state of every router and of every other VM that sent a heartbeat,
// sorted by VM.
func (v *View) Dump() []Status {
	var states []Status
	for vm, rec := range v.records {
		if rec.lastHeartbeat.IsZero() && rec.member.Role != config.RoleRouter {
			continue
		}
		states = append(states, Status{
			VM: vm, Role: string(rec.member.Role), Incarnation: rec.maxIncarnation,
			Live: v.live(rec), Ready: rec.member.Ready, Leaving: rec.isLeaving(),
			Registered: rec.registered, Listed: string(rec.listed), LastHeartbeat: rec.lastHeartbeat,
			DeadThrough: rec.deadThrough, Losses: rec.losses,
		})
	}
	slices.SortFunc(states, func(a, b Status) int { return cmp.Compare(a.VM, b.VM) })
	return states
}
