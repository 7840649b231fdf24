package fuzzseed

import (
	"bytes"
	"encoding/json"
	"testing"
)

// TestSeedsAreTheSameOnEveryRunAndMostlyInvalid guards against seeds that differ
// between runs, that are mostly duplicates, or of which too few or too many are
// valid JSON.
func TestSeedsAreTheSameOnEveryRunAndMostlyInvalid(t *testing.T) {
	sample := []byte(`{"name":"a","list":[1,2],"inner":{"count":5}}`)
	first, second := From(sample), From(sample)
	invalid, distinct := 0, make(map[string]bool)
	for i := range first {
		if !bytes.Equal(first[i], second[i]) {
			t.Fatalf("input %d differs between two calls", i)
		}
		distinct[string(first[i])] = true
		if !json.Valid(first[i]) {
			invalid++
		}
	}
	if !bytes.Equal(first[0], sample) {
		t.Error("the first input is not the unchanged sample")
	}
	if len(distinct) < inputsPerTarget/2 || invalid < inputsPerTarget/3 || invalid > inputsPerTarget*9/10 {
		t.Errorf("got %d distinct and %d invalid inputs, out of the expected range", len(distinct), invalid)
	}
}
