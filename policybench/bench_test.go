package policybench_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/policybench"
	"jackdawswitch/routing"
)

var (
	full             = policybench.Policy{Name: "full"}
	roundRobin       = policybench.Policy{Name: "round robin", Chooser: policybench.RoundRobin}
	leastReported    = policybench.Policy{Name: "least reported", Chooser: policybench.LeastReported}
	noAffinity       = policybench.Policy{Name: "no affinity", Routing: routing.Policy{NoAffinity: true}}
	noInFlightCounts = policybench.Policy{Name: "no in-flight", Routing: routing.Policy{NoInFlightCounts: true}}
	noLoadDecay      = policybench.Policy{Name: "no load decay", Routing: routing.Policy{NoLoadDecay: true}}
	noEjection       = policybench.Policy{Name: "no ejection", Routing: routing.Policy{NoEjection: true}}
	noSlowStart      = policybench.Policy{Name: "no slow start", Routing: routing.Policy{NoSlowStart: true}}
	fifo             = policybench.Policy{Name: "fifo", Admission: admission.Policy{FIFO: true}}
	noFairShare      = policybench.Policy{Name: "no fair share", Admission: admission.Policy{NoFairShare: true}}
	noEarlyRefusal   = policybench.Policy{Name: "no early refusal", Admission: admission.Policy{NoEarlyRefusal: true}}
)

var policies = []policybench.Policy{
	full, roundRobin, leastReported, noAffinity, noInFlightCounts, noLoadDecay, noEjection, noSlowStart,
	fifo, noFairShare, noEarlyRefusal,
}

// ms formats a duration as whole milliseconds in a column of the table.
func ms(d time.Duration) string { return fmt.Sprintf("%6d", d.Milliseconds()) }

// row formats one line of the table under header.
func row(name string, p policybench.Policy, r *policybench.Result) string {
	return fmt.Sprintf("%-14s %-16s %s %s %s %s | %6d %5d %6.1f%% %6.1f%% %5.1f%% %.3f %s",
		name, p.Name, ms(r.FirstToken(.5)), ms(r.FirstToken(.95)), ms(r.FirstToken(.99)),
		ms(r.UrgentFirstToken(.95)), r.Refused, r.RefusedWithFreeSlot,
		100*r.Goodput(), 100*r.UrgentGoodput(), 100*r.CacheHitRate(), r.Fairness(), ms(r.MeanRefusalWait()))
}

// runSeeds runs the scenario with several seeds and returns the combined result.
func runSeeds(s policybench.Scenario, p policybench.Policy) *policybench.Result {
	const seeds = 3
	results := make([]*policybench.Result, seeds)
	var runs sync.WaitGroup
	for i := range seeds {
		seeded := s
		seeded.Seed = uint64(i) + 1
		runs.Go(func() { results[i] = policybench.Run(seeded, p) })
	}
	runs.Wait()
	for _, r := range results[1:] {
		results[0].Add(r)
	}
	return results[0]
}

// header has the column titles of row: times to first token, and that of urgent
// requests, in ms; requests refused, and refused with a free slot; the shares of
// requests and of urgent requests served in time; the cache hit rate; the fairness
// index; and the mean time from arrival to refusal, in ms.
const header = "scenario       policy             p50ms  p95ms  p99ms urg95 | refused free goodput urgent  hits  jain waited"

// peak has five times as many urgent requests in the middle third of the run.
func peak() policybench.Scenario {
	s := policybench.DefaultScenario(0.6, policybench.Healthy)
	s.PeakFactor = 5
	return s
}

// TestPeak checks that the admission queue serves urgent requests in time during a
// peak, and no fewer of them than serving in order of arrival does. With -v it
// prints a table.
func TestPeak(t *testing.T) {
	t.Log(header)
	results := make(map[string]*policybench.Result)
	for _, p := range []policybench.Policy{full, roundRobin, leastReported, fifo, noFairShare, noEarlyRefusal} {
		results[p.Name] = runSeeds(peak(), p)
		t.Log(row("peak", p, results[p.Name]))
	}
	if got := results[full.Name].UrgentGoodput(); got < 0.98 {
		t.Errorf("%.1f%% of the urgent requests were served in time, want at least 98%%", 100*got)
	}
	if results[fifo.Name].UrgentGoodput() > results[full.Name].UrgentGoodput() {
		t.Error("fifo served more urgent requests in time than the full policy")
	}
}

// TestReportInterval prints results for several report intervals with -v.
func TestReportInterval(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v only")
	}
	t.Log(header)
	for _, reportInterval := range []time.Duration{time.Second / 4, time.Second / 2, time.Second, 2 * time.Second} {
		for name, scenario := range map[string]policybench.Scenario{
			"peak": peak(), "healthy 95%": policybench.DefaultScenario(0.95, policybench.Healthy),
		} {
			scenario.ReportInterval = reportInterval
			t.Log(reportInterval, row(name, full, runSeeds(scenario, full)))
		}
	}
}

// TestPoliciesPay checks for each policy that the results without it are no better,
// in the scenario and by the figure that the policy is meant to improve.
func TestPoliciesPay(t *testing.T) {
	refused := func(r *policybench.Result) float64 { return -float64(r.Refused) }
	firstToken := func(r *policybench.Result) float64 { return -r.FirstToken(.95).Seconds() }
	hits := (*policybench.Result).CacheHitRate
	goodput := (*policybench.Result).Goodput
	for _, c := range []struct {
		without policybench.Policy
		load    float64
		fault   policybench.Fault
		figure  string
		score   func(*policybench.Result) float64
	}{
		{roundRobin, 0.8, policybench.Slow, "goodput", goodput},
		{leastReported, 0.95, policybench.Lagging, "goodput", goodput},
		{noAffinity, 0.8, policybench.Healthy, "hits", hits},
		{noInFlightCounts, 0.8, policybench.Lagging, "first token", firstToken},
		{noLoadDecay, 0.95, policybench.Lagging, "goodput", goodput},
		{noEjection, 0.95, policybench.Crashed, "goodput", goodput},
		{noSlowStart, 0.95, policybench.Crashed, "goodput", goodput},
		{fifo, 0.95, policybench.Healthy, "goodput", goodput},
		{noFairShare, 1.2, policybench.Healthy, "fairness", (*policybench.Result).Fairness},
		{noEarlyRefusal, 1.2, policybench.Healthy, "refused", refused},
	} {
		scenario := policybench.DefaultScenario(c.load, c.fault)
		with, without := runSeeds(scenario, full), runSeeds(scenario, c.without)
		if c.score(with) < c.score(without) {
			t.Errorf("%s: %s %g with all policies, %g with this variant", c.without.Name, c.figure, c.score(with), c.score(without))
		}
	}
}

// TestTable prints a table of all policies, faults and loads with -v.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v only")
	}
	t.Log(header)
	for _, fault := range []policybench.Fault{
		policybench.Healthy, policybench.Slow, policybench.Crashed, policybench.Lagging,
	} {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			scenario := policybench.DefaultScenario(load, fault)
			for _, p := range policies {
				name := fmt.Sprintf("%s %.0f%%", fault, 100*load)
				t.Log(row(name, p, runSeeds(scenario, p)))
			}
		}
	}
}
