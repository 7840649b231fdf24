package direct

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/pacing"
	"jackdawswitch/refusal"
)

const (
	// lagSampleInterval is the period of the timer whose lateness shows the load of the
	// VM's processor.
	lagSampleInterval = 20 * time.Millisecond

	// maxLagSample bounds one sample, so that a pause of the process doesn't look like a
	// lasting overload.
	maxLagSample = 50 * time.Millisecond

	// lagWeight is the weight of one sample in the moving average: a time constant of
	// 0.2 s.
	lagWeight = 0.1

	// targetLag is the mean lag that is accepted. A request passes some tens of steps until
	// its first token, each of which is as late as a timer.
	targetLag = 4 * time.Millisecond

	// shedGain is the change of the refused share for each sample and unit of relative
	// deviation from targetLag. maxShedStep bounds the change by one sample.
	shedGain    = 0.01
	maxShedStep = 0.05

	// maxShedShare leaves some requests, by whose cost a lasting overload is noticed.
	maxShedShare = 0.9

	// maxLinkShare is the share of the link's rate that requests and responses may take in
	// one direction. A message waits for about s/(1-s) others at a share of s, and passes
	// the link four times on its way from the caller to the endpoint and back. With prompts
	// of 12 KB on a link of 10 Mbit/s that is 50 ms at this share, a third of the strictest
	// target latency, and 160 ms at 0.8.
	maxLinkShare = 0.55

	// linkWeight is the weight of one sample in the moving average of the traffic: a time
	// constant of half a second.
	linkWeight = 0.04

	// maxTickAge is the age of the last sample from which the process counts as stalled: it
	// was paused, or got no processor time. After a stall it accepts no request for
	// stallRecovery. Requests that waited meanwhile may be of callers that have left, and
	// changes of the endpoints are not known yet.
	maxTickAge    = 500 * time.Millisecond
	stallRecovery = 300 * time.Millisecond

	// A router that would have to refuse more than saturatedShare, whose link is full, or
	// whose process stalled, reports itself unready, so that the load balancer sends its
	// callers elsewhere. Otherwise it sends a caller's retries to the router that refused.
	// The router is ready again after minUnreadyTime, which doubles up to maxUnreadyTime if
	// it is saturated again within relapseTime.
	saturatedShare = 0.3
	minUnreadyTime = 10 * time.Second
	maxUnreadyTime = time.Minute
	relapseTime    = 10 * time.Second

	// A refused caller may come back after minShedRetryAfter to twice that.
	minShedRetryAfter = 50 * time.Millisecond
)

// loadShedder decides which share of the requests a router refuses because its processor
// is overloaded. It answers the load of a VM with a small share of a core to which the
// load balancer, which hashes callers, sends many times the requests of the others: those
// that it accepts are then served in time. It is pure and not safe for concurrent use.
type loadShedder struct {
	// lag is the moving average of the lag, share the share of requests to refuse.
	lag   time.Duration
	share float64
}

// observe records by how much a timer of lagSampleInterval was late.
func (s *loadShedder) observe(lag time.Duration) {
	lag = min(max(lag, 0), maxLagSample)
	s.lag += time.Duration(lagWeight * float64(lag-s.lag))
	deviation := float64(s.lag)/float64(targetLag) - 1
	s.share = min(max(s.share+min(shedGain*deviation, maxShedStep), 0), maxShedShare)
}

// saturation decides when a router whose processor or link is overloaded reports itself
// unready. It is pure and not safe for concurrent use.
type saturation struct {
	// unreadyUntil is the end of the last period, unreadyTime its length.
	unreadyUntil time.Time
	unreadyTime  time.Duration
}

// update returns whether the router is to be unready, given the share of requests that it
// refuses, the share of its link that is in use, and whether the process has stalled.
func (s *saturation) update(now time.Time, refused, link float64, stalled bool) (unready bool) {
	if now.Before(s.unreadyUntil) {
		return true
	}
	if refused < saturatedShare && link < maxLinkShare && !stalled {
		return false
	}
	if now.Sub(s.unreadyUntil) < relapseTime {
		s.unreadyTime = min(2*s.unreadyTime, maxUnreadyTime)
	} else {
		s.unreadyTime = minUnreadyTime
	}
	s.unreadyUntil = now.Add(s.unreadyTime)
	return true
}

// stallGuard tells requests that the process has stalled, also those that run before the
// next sample. Times are durations since the start of the process. It is safe for
// concurrent use.
type stallGuard struct {
	// lastTick is the time of the last sample in nanoseconds, 0 before the first.
	// resumeAt is the time from which requests are accepted again.
	lastTick, resumeAt atomic.Int64
}

// tick records a sample and reports whether the process has stalled before it.
func (g *stallGuard) tick(now time.Duration) (stalled bool) {
	stalled = g.isOld(now)
	if stalled {
		g.resumeAt.Store(int64(now + stallRecovery))
	}
	g.lastTick.Store(int64(now))
	return stalled
}

func (g *stallGuard) isOld(now time.Duration) bool {
	last := g.lastTick.Load()
	return last > 0 && now-time.Duration(last) > maxTickAge
}

// blocks reports whether requests are to be refused because of a stall.
func (g *stallGuard) blocks(now time.Duration) bool {
	return g.isOld(now) || now < time.Duration(g.resumeAt.Load())
}

// overload is what the requests and the readiness check see of the load of the processor.
type overload struct {
	// sharePPM is the share of requests to refuse, in millionths.
	sharePPM atomic.Int64
	// eventHold is how long a stream waits before its next read, in nanoseconds.
	eventHold atomic.Int64
	// saturated is set while the router reports itself unready because of its load.
	saturated atomic.Bool
	// lag is the mean lag in nanoseconds. reason holds the last UnreadyReason of the load.
	lag    atomic.Int64
	reason atomic.Value
	// started is when the router was made, the origin of the stall guard's times.
	started time.Time
	stalls  stallGuard
	// traffic counts the bytes on the connections of callers and to endpoints.
	traffic traffic
}

// linkUse is the moving average of the share of a link that is in use in the busier
// direction. It is pure and not safe for concurrent use.
type linkUse struct {
	// rate is the rate of the link in bytes a second, 0 if it is not limited.
	rate int64
	// received and sent are the last counts, in and out the averages of the shares.
	received, sent int64
	in, out        float64
}

// observe records the bytes received and sent since the start, elapsed after the last
// sample.
func (u *linkUse) observe(received, sent int64, elapsed time.Duration) {
	if u.rate <= 0 || elapsed <= 0 {
		return
	}
	bytes := float64(u.rate) * elapsed.Seconds()
	u.in += linkWeight * (float64(received-u.received)/bytes - u.in)
	u.out += linkWeight * (float64(sent-u.sent)/bytes - u.out)
	u.received, u.sent = received, sent
}

// share returns the share of the link that is in use.
func (u *linkUse) share() float64 { return max(u.in, u.out) }

// watchLag keeps the share of refused requests and the readiness up to date until ctx
// ends.
func (r *Router) watchLag(ctx context.Context) {
	var shedder loadShedder
	var limit saturation
	link := linkUse{rate: r.opts.Settings.LinkBytesPerS}
	pacer := pacing.NewPacer(r.opts.Settings.MaxEventDelay)
	holdGauge := r.opts.Metrics.Gauge("event_hold_ms")
	shedGauge, linkGauge := r.opts.Metrics.Gauge("shed_share"), r.opts.Metrics.Gauge("link_share")
	bodyGauge, configAgeGauge := r.opts.Metrics.Gauge("body_bytes"), r.opts.Metrics.Gauge("config_age_ms")
	timer := time.NewTimer(lagSampleInterval)
	defer timer.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		elapsed := time.Since(started)
		shedder.observe(elapsed - lagSampleInterval)
		pacer.Observe(elapsed - lagSampleInterval)
		r.setEventHold(pacer.Hold(), holdGauge)
		r.late.observe(elapsed - lagSampleInterval)
		link.observe(r.overload.traffic.received.Load(), r.overload.traffic.sent.Load(), elapsed)
		started = time.Now()
		timer.Reset(lagSampleInterval)
		r.overload.sharePPM.Store(int64(shedder.share * 1e6))
		shedGauge.Update(shedder.share)
		linkGauge.Update(link.share())
		r.late.linkPPM.Store(int64(link.share() * 1e6))
		bodyGauge.Update(float64(r.bodies.inUse()))
		configAgeGauge.Update(float64(ageMS(r.configAge.confirmed.get(), time.Now())))
		stalled := r.overload.stalls.tick(time.Since(r.overload.started))
		if stalled {
			r.logger.Warn("process stalled; refusing requests until its state is current", "for", elapsed.String(), "resume_in", stallRecovery.String())
		}
		r.overload.recordLoad(shedder.lag, loadReason(shedder.share, link.share(), stalled))
		unready := limit.update(started, shedder.share, link.share(), stalled)
		if r.overload.saturated.Swap(unready) != unready {
			r.logger.Warn("router saturated", "unready", unready, "for", limit.unreadyTime.String(),
				"refused_share", shedder.share, "lag_us", shedder.lag.Microseconds(), "link_share", link.share())
		}
	}
}

// setEventHold puts a hold into force, and logs when pacing begins and ends.
func (r *Router) setEventHold(hold time.Duration, gauge tally.Gauge) {
	last := time.Duration(r.overload.eventHold.Swap(int64(hold)))
	if (last > 0) != (hold > 0) {
		r.logger.Info("pacing of streams changed", "paced", hold > 0, "hold_ms", hold.Milliseconds())
	}
	if last != hold {
		gauge.Update(float64(hold.Milliseconds()))
	}
}

// checkStall refuses a request that isn't sent yet if the process has stalled. Its error
// is a *refusal.Error.
func (x *exchange) checkStall() error {
	o := &x.router.overload
	if !o.stalls.blocks(time.Since(o.started)) {
		return nil
	}
	return refusal.NotRun(refusal.CauseOverloaded, "the process stalled").WithRetryAfter(stallRecovery + rand.N(minShedRetryAfter))
}

// checkOverload refuses requests after a stall, and a share of them while the processor
// is overloaded. Its error is a *refusal.Error.
func (x *exchange) checkOverload() error {
	if err := x.checkStall(); err != nil {
		return err
	}
	share := float64(x.router.overload.sharePPM.Load()) / 1e6
	if !x.route.Streaming {
		// A single response costs a small part of a stream, so that refusing it relieves
		// little. It is refused only if the streams don't suffice.
		share = 2*share - 1
	}
	if share <= 0 || rand.Float64() >= share {
		return nil
	}
	wait := minShedRetryAfter + rand.N(minShedRetryAfter)
	return refusal.NotRun(refusal.CauseOverloaded, "processor overloaded, refusing %.0f%%", 100*share).WithRetryAfter(wait)
}
