package fuzzseed

import (
	"bytes"
	"encoding/json"
	"testing"
)

func TestSeedsAreTheSameOnEveryRunAndMostlyInvalid(t *testing.T) {
	sample := []byte(`{"name":"a","list":[1,2],"inner":{"count":5}}`)
	first, second := From(sample), From(sample)
	invalid, distinct := 0, make(map[string]bool)
	for i := range first {
		if !bytes.Equal(first[i], second[i]) {
			t.Fatalf("input %d differs", i)
		}
		distinct[string(first[i])] = true
		if !json.Valid(first[i]) {
			invalid++
		}
	}
	if !bytes.Equal(first[0], sample) {
		t.Error("the sample was changed")
	}
	if len(distinct) < perTarget/2 || invalid < perTarget/3 || invalid > perTarget*9/10 {
		t.Errorf("%d distinct inputs, %d of them invalid", len(distinct), invalid)
	}
}
