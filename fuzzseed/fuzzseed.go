// Package fuzzseed generates seed inputs for fuzz targets from a valid sample. The
// inputs are the same on every run, so that plain "go test" is a short fuzz run
// whose result does not depend on chance or time.
package fuzzseed

import (
	"bytes"
	"math/rand/v2"
	"slices"
)

// inputsPerTarget is the number of mutated inputs for each target. A fuzz target runs
// them in a few milliseconds.
const inputsPerTarget = 400

// replacements are inserted in place of parts of a sample: values of other JSON types,
// numbers out of range and invalid bytes.
var replacements = [][]byte{
	[]byte("null"), []byte("true"), []byte("-1"), []byte("0"), []byte("1e99"), []byte("9223372036854775807"), []byte("9223372036854775808"),
	[]byte(`"x"`), []byte(`""`), []byte("[]"), []byte("{}"), []byte("[[[["), []byte("\xff\xfe"), []byte("\x00"),
}

// From returns the sample, the sample twice in a row, and inputs made from the
// sample by one to three mutations each.
func From(sample []byte) [][]byte {
	random := rand.New(rand.NewPCG(1, uint64(len(sample))))
	inputs := [][]byte{sample, bytes.Repeat(sample, 2)}
	for range inputsPerTarget {
		input := slices.Clone(sample)
		for range 1 + random.IntN(3) {
			input = mutate(random, input)
		}
		inputs = append(inputs, input)
	}
	return inputs
}

// mutate makes one random change to an input: it truncates it, deletes, duplicates
// or replaces a span, replaces a JSON value, or flips a bit. It may modify input.
func mutate(random *rand.Rand, input []byte) []byte {
	if len(input) == 0 {
		return slices.Clone(replacements[random.IntN(len(replacements))])
	}
	from := random.IntN(len(input))
	const maxSpan = 24
	to := min(from+1+random.IntN(maxSpan), len(input))
	switch random.IntN(6) {
	case 0:
		return input[:from]
	case 1:
		return slices.Delete(input, from, to)
	case 2:
		return slices.Insert(input, from, slices.Clone(input[from:to])...)
	case 3:
		return slices.Replace(input, from, to, replacements[random.IntN(len(replacements))]...)
	case 4:
		return replaceValue(random, input, from)
	default:
		input[from] ^= 1 << random.IntN(8)
		return input
	}
}

// replaceValue replaces the JSON value after the first colon at or after from.
func replaceValue(random *rand.Rand, input []byte, from int) []byte {
	colon := bytes.IndexByte(input[from:], ':')
	if colon < 0 {
		return input
	}
	start := from + colon + 1
	length := bytes.IndexAny(input[start:], ",}]")
	if length < 0 {
		return input
	}
	return slices.Replace(input, start, start+length, replacements[random.IntN(len(replacements))]...)
}
