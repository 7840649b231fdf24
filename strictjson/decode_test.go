package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

type inner struct {
	Name  string    `json:"name"`
	Count int8      `json:"count"`
	When  time.Time `json:"when,omitzero"`
}

type outer struct {
	Items []inner  `json:"items"`
	Ratio float64  `json:"ratio"`
	On    bool     `json:"on"`
	Size  uint16   `json:"size"`
	Words []string `json:"words"`
	Maybe *inner   `json:"maybe,omitempty"`
}

func TestDecodeReportsAllFaultsAtOnce(t *testing.T) {
	text := `{
		"items": [{"name": "a", "count": 300}, {"nam": 1, "name": 2}, 7, {"when": "yesterday"}],
		"ratio": "1", "on": null, "size": -1, "ratio": 1, "words": {"a": [1, {}]}, "maybe": {"count": 1.5}, "x y": {}
	}`
	target := outer{On: true, Size: 9}
	var got []string
	for _, fault := range Decode([]byte(text), &target) {
		got = append(got, fault.String())
	}
	want := []string{
		`$.items[0].count: 300 is not a signed 8-bit integer`,
		`$.items[1].nam: unknown field`,
		`$.items[1].name: want string, got number`,
		`$.items[2]: want object, got number`,
		`$.items[3].when: "yesterday" is not a valid RFC 3339 time`,
		`$.ratio: want number, got string`,
		`$.on: null is not allowed`,
		`$.size: -1 is not an unsigned 16-bit integer`,
		`$.ratio: duplicate field`,
		`$.words: want array, got object`,
		`$.maybe.count: 1.5 is not a signed 8-bit integer`,
		`$["x y"]: unknown field`,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if !target.On || target.Size != 9 {
		t.Errorf("values with faults were changed: %+v", target)
	}
}

func TestDecodeRejectsMalformedText(t *testing.T) {
	for text, want := range map[string]string{
		"":                       "line 1, column 0",
		"{}\n{}":                 "line 2, column 1",
		"{\n  \"on\": tru}":      "line 2, column",
		`{"on":true} x`:          "line 1, column 13",
		"{\"words\":[\"\xff\"]}": "UTF-8",
		`[]`:                     "want object, got array",
		`null`:                   "null is not allowed",
	} {
		faults := Decode([]byte(text), &outer{})
		if len(faults) != 1 || !strings.Contains(faults[0].Problem, want) {
			t.Errorf("%q: got %v, want %q", text, faults, want)
		}
	}
}

func TestMergeOmitsRepeatedFaults(t *testing.T) {
	decoded := []Fault{{Path: "$.a", Problem: "want number"}}
	checked := []Fault{{Path: "$.a", Problem: "p"}, {Path: "$.a.b", Problem: "p"}, {Path: "$.ab", Problem: "p"}}
	var err *Error
	if !errors.As(Merge("f", decoded, checked), &err) || len(err.Faults) != 2 || err.Faults[1].Path != "$.ab" {
		t.Errorf("got %v", err)
	}
	if Merge("f", nil, nil) != nil {
		t.Error("Merge returned an error without faults")
	}
}

// FuzzDecode checks that encoding/json accepts every text that Decode accepts
// and decodes it to the same value.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"items":[{"name":"a","count":1,"when":"2027-01-01T00:00:00Z"}],"ratio":1e3,"on":true,"size":7,"words":["a"]}`))
	f.Add([]byte(`{"on":true,"on":false}`))
	f.Add([]byte(`{"maybe":{"count":-128}}{}`))
	f.Add([]byte(`{"ON":true}`))
	f.Add([]byte(strings.Repeat(`{"items":[`, 100)))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want outer
		if len(Decode(data, &got)) > 0 {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("accepted %q, which encoding/json rejects: %v", data, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
