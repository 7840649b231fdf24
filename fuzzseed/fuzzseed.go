// Package fuzzseed makes seed inputs for fuzz targets from a valid sample, the
// same ones on every run, so that plain "go test" plays a short fuzz run whose
// result doesn't hang on luck or time.
package fuzzseed

import (
	"bytes"
	"math/rand/v2"
	"slices"
)

// perTarget is the number of inputs for one target: some milliseconds of work.
const perTarget = 400

// values replace parts of a sample: other JSON types, and numbers out of range.
var values = [][]byte{
	[]byte("null"), []byte("true"), []byte("-1"), []byte("0"), []byte("1e99"), []byte("9223372036854775807"), []byte("9223372036854775808"),
	[]byte(`"x"`), []byte(`""`), []byte("[]"), []byte("{}"), []byte("[[[["), []byte("\xff\xfe"), []byte("\x00"),
}

// From returns inputs that are made from sample by a few changes each, and the
// sample itself.
func From(sample []byte) [][]byte {
	random := rand.New(rand.NewPCG(1, uint64(len(sample))))
	out := [][]byte{sample, bytes.Repeat(sample, 2)}
	for range perTarget {
		input := slices.Clone(sample)
		for range 1 + random.IntN(3) {
			input = change(random, input)
		}
		out = append(out, input)
	}
	return out
}

// change makes one change to an input: it is cut short, or a span of it goes,
// comes twice, is replaced, or has a bit changed.
func change(random *rand.Rand, input []byte) []byte {
	if len(input) == 0 {
		return slices.Clone(values[random.IntN(len(values))])
	}
	from := random.IntN(len(input))
	const longest = 24
	to := min(from+1+random.IntN(longest), len(input))
	switch random.IntN(6) {
	case 0:
		return input[:from]
	case 1:
		return slices.Delete(input, from, to)
	case 2:
		return slices.Insert(input, from, slices.Clone(input[from:to])...)
	case 3:
		return slices.Replace(input, from, to, values[random.IntN(len(values))]...)
	case 4:
		return replaceValue(random, input, from)
	default:
		input[from] ^= 1 << random.IntN(8)
		return input
	}
}

// replaceValue replaces the JSON value after the first colon from a position on.
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
	return slices.Replace(input, start, start+length, values[random.IntN(len(values))]...)
}
