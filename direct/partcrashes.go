package direct

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/quarantine"
	"jackdawswitch/refusal"
	"jackdawswitch/rendezvous"
	"jackdawswitch/routing"
)

const (
	// maxPartCrashes, maxPartSuspects and maxPartAnswers bound what one router publishes of
	// prompt parts. With maxCrashEntries it fits into a row of 64 KiB.
	maxPartCrashes  = 32
	maxPartSuspects = 256
	maxPartAnswers  = 64

	// maxCrashProbes bounds the probes under way, and maxProbedParts the parts that wait for
	// one.
	maxCrashProbes = 32
	maxProbedParts = 1024
)

// partCrashes finds the prompt parts that crash endpoints, with what other routers publish
// of them. It answers the load of requests that share such a part, no two alike.
type partCrashes struct {
	router *Router

	mu    sync.Mutex
	parts *quarantine.Parts
	// crashes and answers are what this router publishes. version rises when they change;
	// savedVersion is that of the stored router record.
	crashes               []quarantine.Crash
	answers               []quarantine.Answer
	version, savedVersion uint64
	// probed are the parts that wait for the probe of an endpoint, by its process.
	probed map[routing.PromptEndpoint][]string

	quarantined                                     tally.Gauge
	probes, probesSkipped, crashesFound, falseCount tally.Counter
}

func newPartCrashes(r *Router, scope tally.Scope) *partCrashes {
	return &partCrashes{
		router: r, parts: quarantine.New(), probed: make(map[routing.PromptEndpoint][]string),
		quarantined: scope.Gauge("prompt_parts_quarantined"), probes: scope.Counter("crash_probes"),
		probesSkipped: scope.Counter("crash_probes_skipped"), crashesFound: scope.Counter("endpoint_crashes_found"),
		falseCount: scope.Counter("requests_refused_for_sound_parts"),
	}
}

// partKeys returns the keys of the request's prompt parts but the last one, which belongs to
// the request itself.
func (x *exchange) partKeys() []string {
	if x.cachedPartKeys == nil && len(x.meta.Parts) > 1 {
		for _, part := range x.meta.Parts[:len(x.meta.Parts)-1] {
			x.cachedPartKeys = append(x.cachedPartKeys, quarantine.Key(part.ID))
		}
	}
	return x.cachedPartKeys
}

// checkParts refuses a request whose prompt parts are quarantined. Its error is a
// *refusal.Error.
func (x *exchange) checkParts() error {
	keys := x.partKeys()
	if len(keys) == 0 {
		return nil
	}
	c, now := x.router.partCrashes, x.router.quarantine.tableNowMS()
	c.mu.Lock()
	decision := c.parts.Check(now, keys, c.ownsTrial)
	c.mu.Unlock()
	if len(decision.Parts) == 0 {
		return nil
	}
	x.router.logger.Info("prompt parts quarantined", "request", logged(x.meta.ID), "parts", decision.Parts, "crashes", decision.Crashes,
		"trial", decision.Trial, "last_ms", decision.LastMS, "until_ms", decision.UntilMS, "now_ms", now)
	if !decision.Quarantined() {
		return nil
	}
	return refusal.NotRun(refusal.CauseQuarantined, "parts of the prompt crashed %d endpoints", decision.Crashes).
		WithRetryAfter(time.Duration(decision.UntilMS-now) * time.Millisecond)
}

// ownsTrial reports whether this router is the one of the fleet that lets a request with a
// quarantined part pass in a slot of time. Without knowledge of the fleet, none is.
func (c *partCrashes) ownsTrial(part string, slot int64) bool {
	if !c.router.fleetKnowledge.knows(time.Now()) {
		return false
	}
	key := rendezvous.Score(rendezvous.Hash(part), uint64(slot))
	own := rendezvous.Score(key, rendezvous.Hash(c.router.opts.Settings.VM))
	return !slices.ContainsFunc(c.router.peers.stayingRouters(), func(vm string) bool {
		return rendezvous.Score(key, rendezvous.Hash(vm)) > own
	})
}

// recordParts records what an attempt says of the parts of its prompt.
func (x *exchange) recordParts(a *attempt) {
	c, keys := x.router.partCrashes, x.partKeys()
	switch {
	case len(keys) == 0:
	case a.crashed && !a.answerBegun:
		c.probe(a.choice.Endpoint, x.meta.ID, keys)
	case a.outcome == outcomeAnswered && a.stream == nil && a.status < 300:
		x.recordAnswerBegun(a)
	}
}

// recordAnswerBegun records that an answer began, which clears the parts of the prompt.
func (x *exchange) recordAnswerBegun(a *attempt) {
	keys := x.partKeys()
	if a.answerBegun || len(keys) == 0 {
		a.answerBegun = true
		return
	}
	a.answerBegun = true
	c, now := x.router.partCrashes, x.router.quarantine.tableNowMS()
	c.mu.Lock()
	defer c.mu.Unlock()
	publish, released := c.parts.Answered(now, keys)
	for _, part := range publish {
		c.answers = slices.DeleteFunc(c.answers, func(known quarantine.Answer) bool { return known.Part == part })
		c.answers = append(c.answers, quarantine.Answer{Part: part, AtMS: now})
		c.version++
	}
	if extra := len(c.answers) - maxPartAnswers; extra > 0 {
		c.answers = slices.Delete(c.answers, 0, extra)
	}
	c.released(released)
}

// released logs the parts that are no longer quarantined. The caller holds c.mu.
func (c *partCrashes) released(parts []quarantine.Release) {
	for _, part := range parts {
		c.falseCount.Inc(int64(part.Refused))
		c.router.logger.Warn("prompt part released from quarantine", "part", part.Part, "refused", part.Refused)
	}
}

// probe finds out whether an endpoint has crashed, and records the parts of the attempt as
// suspects if so. A lost answer breaks a connection too, but only a crash closes the
// endpoint's port. Attempts that break while a probe is under way share it.
func (c *partCrashes) probe(endpoint routing.PromptEndpoint, request string, keys []string) {
	at := c.router.quarantine.tableNowMS()
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, probing := c.probed[endpoint]
	if !probing && len(c.probed) >= maxCrashProbes {
		c.probesSkipped.Inc(1)
		return
	}
	if len(waiting)+len(keys) <= maxProbedParts {
		c.probed[endpoint] = append(waiting, keys...)
	}
	if probing {
		return
	}
	c.probes.Inc(1)
	go func() {
		err := dialOnce(endpoint.Address)
		c.probeEnded(endpoint, request, at, err)
	}()
}

// dialOnce connects to an endpoint and closes the connection.
func dialOnce(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), endpointDialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// probeEnded records a crash at the given time if a probe was refused.
func (c *partCrashes) probeEnded(endpoint routing.PromptEndpoint, request string, atMS int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := c.parts.Suspects(c.probed[endpoint])
	delete(c.probed, endpoint)
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	c.router.logger.Info("endpoint probed after a broken attempt", "endpoint", endpoint.ID, "address", endpoint.Address,
		"request", request, "crashed", crashed, "suspects", suspects, "at_ms", atMS, "error", errorText(err))
	if !crashed || len(suspects) == 0 {
		return
	}
	c.crashesFound.Inc(1)
	crash := quarantine.Crash{Endpoint: endpoint.ID, AtMS: atMS, Suspects: suspects}
	c.crashes = append(c.crashes, crash)
	if extra := len(c.crashes) - maxPartCrashes; extra > 0 {
		c.crashes = slices.Delete(c.crashes, 0, extra)
	}
	c.version++
	c.applied(c.parts.Crashed(crash))
}

// applied reports a change of the quarantined parts. The caller holds c.mu.
func (c *partCrashes) applied(released []quarantine.Release) {
	c.released(released)
	c.quarantined.Update(float64(len(c.parts.Status())))
}

// merge adds the crashes and answers of a router record. With own set, the record was written
// by this router or its predecessor on the VM.
func (c *partCrashes) merge(crashes []quarantine.Crash, answers []quarantine.Answer, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range crashes {
		c.applied(c.parts.Crashed(crash))
		if own && !slices.ContainsFunc(c.crashes, crash.Equal) {
			c.crashes = append(c.crashes, crash)
		}
	}
	for _, answer := range answers {
		c.applied(c.parts.Cleared(answer))
		if own && !slices.Contains(c.answers, answer) {
			c.answers = append(c.answers, answer)
		}
	}
}

// published returns the latest crashes and answers to publish, and their version.
func (c *partCrashes) published() (crashes []quarantine.Crash, answers []quarantine.Answer, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, suspects := len(c.crashes), 0
	for first > max(len(c.crashes)-maxPartCrashes, 0) && suspects+len(c.crashes[first-1].Suspects) <= maxPartSuspects {
		first--
		suspects += len(c.crashes[first].Suspects)
	}
	return slices.Clone(c.crashes[first:]), slices.Clone(c.answers[max(len(c.answers)-maxPartAnswers, 0):]), c.version
}

// unsaved reports whether the stored router record lacks a change.
func (c *partCrashes) unsaved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.savedVersion != c.version
}

// markSaved records that a version has been stored.
func (c *partCrashes) markSaved(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedVersion = version
}

// expire drops what no longer counts.
func (c *partCrashes) expire(nowMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.Expire(nowMS)
	isOld := func(atMS int64) bool { return nowMS-atMS >= quarantine.Retention.Milliseconds() }
	c.crashes = slices.DeleteFunc(c.crashes, func(crash quarantine.Crash) bool { return isOld(crash.AtMS) })
	c.answers = slices.DeleteFunc(c.answers, func(answer quarantine.Answer) bool { return isOld(answer.AtMS) })
	c.applied(nil)
}

// status returns the quarantined parts for the dump.
func (c *partCrashes) status() []quarantine.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Status()
}
