package routing_test

import (
	"testing"
	"time"
)

// archiveLoad is a multiple of the load of an archive's assistant: long prompts with shared parts,
// on few endpoints of equal speed. The number of different parts is divided by popularity.
func archiveLoad(rate float64, popularity int) unequalLoad {
	return unequalLoad{
		routers: 5, endpoints: 9, paces: []float64{1}, tokensPerMS: 56.6, rate: rate,
		kinds: []requestKind{
			{perSecond: 15.3, roots: 1, shared: 13_300, subjects: 129 / popularity, own: 3720, sigma: 1.1, maxOwn: 53_200, objective: 600 * time.Millisecond},
			{perSecond: 10.5, root: 2520, roots: 4, shared: 3780, subjects: 59 / popularity, own: 2890, sigma: 1, maxOwn: 39_600, objective: 600 * time.Millisecond},
			{perSecond: 16.2, root: 210, roots: 40, shared: 140, subjects: 91, own: 1110, sigma: 1, maxOwn: 3790, objective: 400 * time.Millisecond},
		},
	}
}

// TestProofLongPromptsAreReadInTime guards against prompts that wait at the endpoint which holds
// their shared parts though another one would read them in time, and against endpoints that seem
// fast because many requests run there. It plays twice the usual load, and a higher one with
// popular parts. The bounds are the users' for the usual load: of the longest prompts 8% may be
// late, of the others 3%.
func TestProofLongPromptsAreReadInTime(t *testing.T) {
	for name, load := range map[string]unequalLoad{
		"twice the load":                archiveLoad(2, 1),
		"popular parts at 2.5 times it": archiveLoad(2.5, 8),
	} {
		late, answers := [3]int{}, [3]int{}
		for seed := range uint64(4) {
			today, learning := playUnequal(t, load, seed)
			for k := range late {
				late[k] += learning.lateBy[k]
				answers[k] += learning.answers[k]
			}
			if learning.read > 2*today.read {
				t.Errorf("%s, seed %d: %.0f shared tokens read, %.0f by a choice that learns nothing", name, seed, learning.read, today.read)
			}
		}
		for k, most := range []float64{0.08, 0.03, 0.03} {
			if share := float64(late[k]) / float64(answers[k]); share > most {
				t.Errorf("%s: %.3f of kind %d are late, want at most %.2f", name, share, k, most)
			}
		}
	}
}
