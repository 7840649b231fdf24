package config

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"jackdawswitch/strictjson"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes every run draw the same cases.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

const validDocument = `{
	"register": {
		"failureDomains": [{"id": "fd2", "region": "walvis"}, {"id": "fd1", "region": "walvis"}],
		"vms": [
			{"id": "r1", "failureDomain": "fd1", "address": "10.0.0.1:7000", "operators": "10.0.0.1:9000", "role": "router"},
			{"id": "e1", "failureDomain": "fd2", "address": "10.0.1.1:7000", "role": "agent"}
		],
		"workspaces": [{"id": "coffee", "keyHashes": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}],
		"services": [
			{"id": "notes", "kind": "model", "models": [{"id": "cup/notes", "inputPrice": 1, "outputPrice": 3, "maxOutputTokens": 512}]},
			{"id": "desk", "kind": "plain", "calls": [{"method": "POST", "path": "/contracts", "price": 5}, {"method": "GET", "path": "/stock/", "repeatable": true}]}
		],
		"endpoints": [{"id": "n1", "service": "notes", "vm": "e1", "address": "http://127.0.0.1:8000", "models": ["cup/notes"], "slots": 4, "fencing": "ignored"}],
		"lots": [{"id": "b", "workspace": "coffee", "budget": 10, "expires": "2027-01-01T00:00:00Z"},
			{"id": "a", "workspace": "coffee", "budget": 20, "expires": "2027-01-01T00:00:00Z"}]
	},
	"rules": {"limits": [{"workspace": "coffee", "concurrency": 3}], "priorities": [{"workspace": "coffee", "level": 5}, {"level": 1}],
		"requests": {"crashLimit": 4}}
}`

func TestDecodeFillsDefaultsAndSorts(t *testing.T) {
	doc, err := Decode([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	rules := DefaultRules()
	rules.Requests.CrashLimit = 4
	if doc.Rules.Requests != rules.Requests || doc.Rules.Credit != rules.Credit {
		t.Errorf("got %+v", doc.Rules)
	}
	if lots := doc.Lots("coffee"); len(lots) != 2 || lots[0].ID != "a" || doc.Lot("coffee", "b").Budget != 10 {
		t.Errorf("got lots %+v", lots)
	}
	if doc.Lot("coffee", "c") != nil || len(doc.Lots("ice")) != 0 || doc.VM("e1").Role != RoleAgent {
		t.Error("a lookup returned a wrong item")
	}
	if err := doc.Check(); err != nil {
		t.Errorf("the decoded document has faults: %v", err)
	}
}

func TestDecodeReportsAllFaultsAtOnce(t *testing.T) {
	bad := strings.NewReplacer(
		`"id": "fd2", "region": "walvis"`, `"id": "fd1", "region": ""`,
		`"10.0.0.1:7000"`, `"router:7000"`,
		`"failureDomain": "fd2"`, `"failureDomain": "fd9"`,
		`"e3b0c`, `"E3b0c`,
		`"outputPrice": 3`, `"outputPrice": -3`,
		`"path": "/stock/"`, `"path": "stock"`,
		`{"method": "POST", "path": "/contracts", "price": 5}`, `{"method": "POST", "path": "/contracts"}, {"method": "POST", "path": "/"}`,
		`"service": "notes"`, `"service": "note"`,
		`"vm": "e1"`, `"vm": "r1"`,
		`"slots": 4`, `"slots": 4, "slot": 1`,
		`"budget": 10, "expires": "2027-01-01T00:00:00Z"`, `"budget": -1`,
		`"id": "a", "workspace": "coffee"`, `"id": "a", "workspace": "tea"`,
		`"level": 5}`, `"level": 500}, {"workspace": "coffee", "service": "desk", "level": 1}`,
		`"crashLimit": 4`, `"crashLimit": 0, "queueSeconds": 1000`,
	).Replace(validDocument)
	_, err := DecodeSource("register.json", []byte(bad))
	var faults *strictjson.Error
	if !errors.As(err, &faults) {
		t.Fatalf("got %v", err)
	}
	var paths []string
	for _, fault := range faults.Faults {
		paths = append(paths, strings.TrimPrefix(strings.TrimPrefix(fault.Path, "$.register."), "$.rules."))
	}
	want := []string{
		"endpoints[0].slot", "failureDomains[0].region", "failureDomains[1].id", "vms[0].address", "vms[1].failureDomain",
		"workspaces[0].keyHashes[0]", "services[0].models[0].outputPrice", "services[1].calls[1]", "services[1].calls[2].path",
		"endpoints[0].service", "endpoints[0].vm", "lots[0].budget", "lots[0].expires", "lots[1].workspace",
		"priorities[0].level", "priorities[1]", "requests.queueSeconds", "requests.crashLimit",
	}
	if !slices.Equal(paths, want) {
		t.Errorf("got  %q\nwant %q", paths, want)
	}
}

// drawDocument draws from a small set of IDs, so that two documents often share
// items.
func drawDocument(t *rapid.T, label string) *Document {
	doc := &Document{Rules: DefaultRules()}
	for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "a-b", "b", "c"}), 0, 4, rapid.ID[string]).Draw(t, label+" workspaces") {
		partitions := rapid.IntRange(0, 1).Draw(t, label+" partitions")
		doc.Register.Workspaces = append(doc.Register.Workspaces, Workspace{ID: id, Partitions: partitions})
		for _, lot := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y", "x.z"}), 0, 3, rapid.ID[string]).Draw(t, label+" lots") {
			budget := rapid.Int64Range(1, 3).Draw(t, label+" budget")
			doc.Register.Lots = append(doc.Register.Lots, Lot{ID: lot, Workspace: id, Budget: budget})
		}
	}
	for level := range rapid.IntRange(0, 2).Draw(t, label+" priorities") {
		doc.Rules.Priorities = append(doc.Rules.Priorities, Priority{Level: level})
	}
	doc.Rules.Requests.CrashLimit = rapid.IntRange(1, 2).Draw(t, label+" crash limit")
	doc.Normalize()
	return doc
}

func encode(t rapid.TB, value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestDiffAndApplyAreInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, updated := drawDocument(t, "old"), drawDocument(t, "new")
		before := encode(t, old)
		change := Diff(old, updated)
		var sent Change
		if err := json.Unmarshal([]byte(encode(t, change)), &sent); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(old, sent)
		if err != nil {
			t.Fatal(err)
		}
		merged := lotKind.merge(old.Register.Lots, sent.Lots)
		if !slices.EqualFunc(merged, got.Register.Lots, equalLots) {
			t.Fatalf("merge gives %v, edits in place give %v", merged, got.Register.Lots)
		}
		if remaining := Diff(got, updated); !remaining.Empty() {
			t.Fatalf("the result differs from the updated document by %s", encode(t, remaining))
		}
		if encode(t, got) != encode(t, updated) {
			t.Fatalf("got %s, want %s", encode(t, got), encode(t, updated))
		}
		if (encode(t, old) == encode(t, updated)) != change.Empty() {
			t.Fatalf("Change.Empty is wrong for the change %s", encode(t, change))
		}
		if encode(t, old) != before {
			t.Fatal("the old document was changed")
		}
	})
}

func TestApplyRejectsAChangeForAnotherDocument(t *testing.T) {
	doc := &Document{}
	doc.Register.Lots = []Lot{{Workspace: "a", ID: "x"}}
	_, err := Apply(&Document{}, Diff(doc, &Document{}))
	var missing *MissingItemError
	if !errors.As(err, &missing) || missing.Key != "a/x" {
		t.Errorf("got %v", err)
	}
}

// FuzzDecode checks that an accepted document survives a round trip through
// JSON, and that applying its difference from the empty document yields it.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"register": {"lots": [{"id": "a"}]}, "rules": {"credit": {"taper": 2}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode([]byte(encode(t, doc)))
		if err != nil {
			t.Fatalf("the encoded document is rejected: %v", err)
		}
		if !Diff(doc, again).Empty() || !Diff(again, doc).Empty() {
			t.Fatal("the document differs after a round trip")
		}
		empty := &Document{}
		result, err := Apply(empty, Diff(empty, doc))
		if err != nil || !Diff(result, doc).Empty() {
			t.Fatalf("the change from the empty document does not yield the document: %v", err)
		}
	})
}

// FuzzChange checks that a malformed change from a peer never leaves lists
// unsorted or with duplicates, and that the result can still be compared.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"lots": {"put": [{"workspace": "b", "id": "x"}, {"workspace": "a", "id": "x"}], "remove": ["coffee/a"]}}`))
	f.Add([]byte(`{"lots": {"put": [{"workspace": "b"}, {"workspace": "b"}]}, "priorities": []}`))
	f.Add([]byte(`{"vms": {"remove": ["r1", "r1"]}}`))
	f.Add([]byte(`{"lots": {"put": [{"workspace": "coffee", "id": "a"}], "remove": ["coffee/a", "coffee/b"]}}`))
	doc, err := Decode([]byte(validDocument))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var change Change
		if json.Unmarshal(data, &change) != nil {
			return
		}
		result, err := Apply(doc, change)
		if err != nil {
			return
		}
		lots := slices.CompactFunc(slices.Clone(result.Register.Lots), func(a, b Lot) bool { return compareLots(a, b) == 0 })
		if len(lots) != len(result.Register.Lots) {
			t.Fatal("the result has a duplicate lot")
		}
		if !slices.IsSortedFunc(result.Register.Lots, compareLots) || !slices.IsSortedFunc(result.Register.VMs, compareVMs) {
			t.Fatal("the result is not sorted")
		}
		merged := lotKind.merge(doc.Register.Lots, change.Lots)
		if !slices.EqualFunc(merged, result.Register.Lots, equalLots) {
			t.Fatalf("merge gives %v, edits in place give %v", merged, result.Register.Lots)
		}
		if again, err := Apply(doc, Diff(doc, result)); err != nil || !reflect.DeepEqual(Diff(again, result), Change{}) {
			t.Fatalf("applying the difference does not yield the result: %v", err)
		}
	})
}
