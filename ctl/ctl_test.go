package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"jackdawswitch/claim"
	"jackdawswitch/ledger"
	"jackdawswitch/settings"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
)

const (
	first = `{"register": {
		"failureDomains": [{"id": "fd1", "region": "walvis"}],
		"vms": [{"id": "r1", "failureDomain": "fd1", "address": "10.0.0.1:7000", "operators": "10.0.0.1:9000", "role": "router"},
			{"id": "r2", "failureDomain": "fd1", "address": "10.0.0.2:7000", "operators": "10.0.0.2:9000", "role": "router"},
			{"id": "r3", "failureDomain": "fd1", "address": "10.0.0.3:7000", "role": "router"}],
		"workspaces": [{"id": "coffee"}, {"id": "ice"}],
		"lots": [{"id": "a", "workspace": "coffee", "budget": 100, "expires": "2027-01-01T00:00:00Z"}]},
		"rules": {"limits": [{"workspace": "ice", "concurrency": 2}]}}`
	second = `{"register": {
		"failureDomains": [{"id": "fd1", "region": "walvis"}],
		"vms": [{"id": "r1", "failureDomain": "fd1", "address": "10.0.0.9:7000", "role": "router"}],
		"workspaces": [{"id": "coffee", "partitions": 4}],
		"lots": [{"id": "a", "workspace": "coffee", "budget": 250, "expires": "2027-01-01T00:00:00Z"},
			{"id": "b", "workspace": "coffee", "budget": 5, "expires": "2027-02-01T00:00:00Z"}]},
		"rules": {"priorities": [{"workspace": "coffee", "level": 3}], "requests": {"crashLimit": 5}}}`
	broken = `{"register": {"lots": [{"id": "a", "workspace": "coffee", "budget": -1}]}, "rule": {}}`
)

// bench runs the tool against a table and an object store in memory.
type bench struct {
	t       *testing.T
	dir     string
	table   *standin.Table
	objects *standin.ObjectStore
	http    http.RoundTripper
	env     map[string]string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), table: standin.NewTable(), objects: standin.NewObjectStore()}
	b.env = map[string]string{"JACKDAW_TABLE": "http://table", "JACKDAW_OBJECTS": "http://objects"}
	for name, text := range map[string]string{"first.json": first, "second.json": second, "broken.json": broken} {
		if err := os.WriteFile(filepath.Join(b.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// run returns the exit code and both outputs. The directory is left out.
func (b *bench) run(args ...string) (int, string, string) {
	b.t.Helper()
	var out, errs bytes.Buffer
	for i, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[i] = filepath.Join(b.dir, arg)
		}
	}
	code := Run(context.Background(), args, Options{
		Version: "test", Stdout: &out, Stderr: &errs, HTTP: b.http,
		Getenv: func(name string) string { return b.env[name] },
		Open: func(settings.Platform) (storage.Table, storage.ObjectStore, error) {
			return b.table, b.objects, nil
		},
	})
	clean := strings.NewReplacer(b.dir+"/", "").Replace
	return code, clean(out.String()), clean(errs.String())
}

func (b *bench) expect(want int, args ...string) (string, string) {
	b.t.Helper()
	code, out, errs := b.run(args...)
	if code != want {
		b.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, out, errs)
	}
	return out, errs
}

func TestCheckPlanAndApply(t *testing.T) {
	b := newBench(t)
	golden := goldie.New(t)
	_, errs := b.expect(ExitCheck, "check", "broken.json")
	golden.Assert(t, "check_broken", []byte(errs))
	b.expect(ExitOK, "check", "first.json")
	b.expect(ExitFailure, "check", "none.json")
	b.expect(ExitCheck, "apply", "broken.json")
	out, _ := b.expect(ExitOK, "plan", "first.json")
	golden.Assert(t, "plan_first", []byte(out))
	b.expect(ExitOK, "apply", "first.json", "--base", "0")
	out, _ = b.expect(ExitOK, "plan", "second.json")
	golden.Assert(t, "plan_second", []byte(out))
	b.expect(ExitUsage, "apply", "second.json")
	b.expect(ExitOK, "apply", "second.json", "--base", "1")
	out, errs = b.expect(ExitConflict, "apply", "first.json", "--base", "1")
	golden.Assert(t, "conflict", []byte(out+errs))
	out, _ = b.expect(ExitConflict, "apply", "first.json", "--base", "1", "--json")
	var conflict struct {
		Head  int
		Since []struct{ Version int }
	}
	if err := json.Unmarshal([]byte(out), &conflict); err != nil || conflict.Head != 2 || len(conflict.Since) != 1 {
		t.Errorf("got %s, %v", out, err)
	}
	out, _ = b.expect(ExitOK, "plan", "second.json")
	if !strings.HasPrefix(out, "no change\n") {
		t.Errorf("got %q", out)
	}
}

func TestUsage(t *testing.T) {
	b := newBench(t)
	b.expect(ExitUsage)
	b.env = nil
	b.expect(ExitUsage, "plan", "first.json")
	b.expect(ExitUsage, "load", "http://router", "--rate", "0")
}

func (b *bench) put(key, value string) {
	b.t.Helper()
	txn := storage.Transaction{ID: key, Puts: []storage.Put{{Key: key, Value: []byte(value)}}}
	if _, err := b.table.Commit(b.t.Context(), txn); err != nil {
		b.t.Fatal(err)
	}
}

func TestLedger(t *testing.T) {
	b := newBench(t)
	b.expect(ExitOK, "apply", "first.json")
	b.expect(ExitOK, "apply", "second.json", "--base", "1")
	out, _ := b.expect(ExitOK, "ledger")
	goldie.New(t).Assert(t, "ledger", []byte(out))
	b.expect(ExitUsage, "ledger", "--verify", "--export")
	b.expect(ExitUsage, "ledger", "--lot", "coffee")
	b.expect(ExitFailure, "ledger", "--lot", "coffee/none")
	b.put("lot/coffee/c", "{")
	b.expect(ExitFailure, "ledger", "--json")
}

// grant puts a grant of lot coffee/a with one batch of bills.
func (b *bench) grant(row ledger.GrantRow, bills ...ledger.Bill) {
	b.t.Helper()
	row.Workspace, row.Lot = "coffee", "a"
	batch := ledger.Batch{Writer: "w", Sections: []ledger.BatchSection{{Grant: row.ID, Workspace: "coffee", Lot: "a", Bills: bills}}}
	var body []byte
	row.LastBatch, body = batch.Encode()
	for _, bill := range bills {
		row.Settled.Add(bill.Sequence)
		row.Billed += bill.Credits
	}
	if err := b.objects.PutIfAbsent(b.t.Context(), ledger.BatchKey(row.LastBatch), body); err != nil {
		b.t.Fatal(err)
	}
	value, err := json.Marshal(row)
	if err != nil {
		b.t.Fatal(err)
	}
	b.put(ledger.GrantKey("coffee", "a", row.ID), string(value))
}

func TestLedgerInUse(t *testing.T) {
	b := newBench(t)
	golden := goldie.New(t)
	lot := `{"workspace": "coffee", "lot": "a", "budget": 250, "expires": "2027-01-01T00:00:00Z", "committed": 130, "retired": true}`
	b.put(ledger.LotKey("coffee", "a"), lot)
	b.grant(ledger.GrantRow{
		ID: "r1.5.1", Holder: ledger.Holder{VM: "r1", Incarnation: 5}, State: ledger.GrantOpen, Amount: 80,
	}, ledger.Bill{Sequence: 1, Key: "k1", Credits: 7}, ledger.Bill{Sequence: 2, Key: "k2", Credits: 8})
	b.grant(ledger.GrantRow{
		ID: "r2.6.1", Holder: ledger.Holder{VM: "r2", Incarnation: 6}, State: ledger.GrantReclaiming, Amount: 30,
		Open: []ledger.OpenSlot{{Sequence: 4, Credits: 9}},
	}, ledger.Bill{Sequence: 1, Key: "k3", Credits: 3})
	b.grant(ledger.GrantRow{
		ID: "r2.4.1", Holder: ledger.Holder{VM: "r2", Incarnation: 4}, State: ledger.GrantClosed, Amount: 20, Unresolved: 20,
	}, ledger.Bill{Sequence: 1, Key: "k4", Credits: 20, Unresolved: true})
	for name, args := range map[string][]string{
		"ledger_in_use": {"ledger"},
		"ledger_lot":    {"ledger", "--lot", "coffee/a", "--json"},
		"ledger_agrees": {"ledger", "--verify"},
		"ledger_export": {"ledger", "--export"},
	} {
		out, _ := b.expect(ExitOK, args...)
		golden.Assert(t, name, []byte(out))
	}
	b.put(ledger.LotKey("coffee", "a"), strings.Replace(lot, "130", "131", 1))
	b.grant(ledger.GrantRow{
		ID: "r1.5.1", Holder: ledger.Holder{VM: "r1", Incarnation: 5}, State: ledger.GrantOpen, Amount: 80,
	}, ledger.Bill{Sequence: 1, Key: "k4", Credits: 15})
	out, errs := b.expect(ExitCheck, "ledger", "--verify")
	golden.Assert(t, "ledger_differs", []byte(out+errs))
	b.expect(ExitCheck, "ledger", "--verify", "--json")
}

func TestQuarantineAndResolve(t *testing.T) {
	b := newBench(t)
	b.put(claim.CrashPrefix+"coffee/ab12", `{"crashes": [{"attempt": "1", "at": "2027-01-01T00:00:00Z", "running": 1}], "keys": ["k"]}`)
	out, _ := b.expect(ExitOK, "quarantine")
	if !strings.Contains(out, "WORKSPACE/BODY") {
		t.Errorf("got %q", out)
	}
	b.expect(ExitUsage, "quarantine", "--release", "coffee")
	b.expect(ExitFailure, "quarantine", "--release", "coffee/none")
	b.expect(ExitOK, "quarantine", "--release", "coffee/ab12")

	key := claim.Key{Workspace: "coffee", Name: "booking/7"}
	row := claim.Row{Workspace: key.Workspace, Key: key.Name, Body: make([]byte, 32), State: claim.RowUnknown}
	b.put(claim.RowKey(key), string(row.Encode()))
	b.put(claim.UnknownOutcomeKey(key), `{"workspace": "coffee", "key": "booking/7", "since": "2027-01-01T00:00:00Z"}`)
	out, _ = b.expect(ExitOK, "resolve")
	if !strings.Contains(out, "coffee/booking/7") {
		t.Errorf("got %q", out)
	}
	b.expect(ExitUsage, "resolve", "--ran", "coffee/booking/7")
	b.expect(ExitUsage, "resolve", "--ran", "coffee/booking/7", "--not-run", "coffee/x", "--operator", "ana")
	b.expect(ExitOK, "resolve", "--not-run", "coffee/booking/7", "--operator", "ana")
	b.expect(ExitFailure, "resolve", "--ran", "coffee/booking/7", "--operator", "ana")
	out, _ = b.expect(ExitOK, "resolve", "--json")
	if strings.TrimSpace(out) != "[]" {
		t.Errorf("still listed: %q", out)
	}
}

// fakeDaemons answers for the processes at the operators' addresses.
type fakeDaemons map[string]string

// RoundTrip implements http.RoundTripper.
func (f fakeDaemons) RoundTrip(req *http.Request) (*http.Response, error) {
	dump, ok := f[req.URL.Host]
	if !ok {
		return nil, io.ErrUnexpectedEOF
	}
	status := http.StatusOK
	if req.Header.Get("Authorization") != "Bearer secret" {
		status = http.StatusUnauthorized
	}
	if req.URL.Path == "/readyz" && strings.Contains(dump, `"isolated":true`) {
		status = http.StatusServiceUnavailable
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(dump))}, nil
}

func TestStatusAndDump(t *testing.T) {
	b := newBench(t)
	b.expect(ExitOK, "apply", "first.json")
	b.http = fakeDaemons{"10.0.0.1:9000": `{"config":{"version":1,"staleSeconds":0.25}}`}
	b.env["JACKDAW_OPERATOR_TOKEN"] = "secret"
	out, errs := b.expect(ExitFailure, "status")
	goldie.New(t).Assert(t, "status", []byte(out+errs))
	out, _ = b.expect(ExitOK, "dump", "10.0.0.1:9000")
	if !strings.Contains(out, `"version":1`) {
		t.Errorf("got %q", out)
	}
	b.expect(ExitFailure, "dump", "10.0.0.2:9000")
	b.env["JACKDAW_OPERATOR_TOKEN"] = "other"
	b.expect(ExitFailure, "dump", "10.0.0.1:9000")
	b.http = fakeDaemons{"10.0.0.1:9000": `{"config":{"version":1,"isolated":true}}`}
	b.expect(ExitFailure, "status", "--json")
}
