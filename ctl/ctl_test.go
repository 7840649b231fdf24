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
	firstConfig = `{"register": {
		"failureDomains": [{"id": "fd1", "region": "walvis"}],
		"vms": [{"id": "r1", "failureDomain": "fd1", "address": "10.0.0.1:7000", "operators": "10.0.0.1:9000", "role": "router"},
			{"id": "r2", "failureDomain": "fd1", "address": "10.0.0.2:7000", "operators": "10.0.0.2:9000", "role": "router"},
			{"id": "r3", "failureDomain": "fd1", "address": "10.0.0.3:7000", "role": "router"}],
		"workspaces": [{"id": "coffee"}, {"id": "ice"}],
		"lots": [{"id": "a", "workspace": "coffee", "budget": 100, "expires": "2027-01-01T00:00:00Z"}]},
		"rules": {"limits": [{"workspace": "ice", "concurrency": 2}]}}`
	secondConfig = `{"register": {
		"failureDomains": [{"id": "fd1", "region": "walvis"}],
		"vms": [{"id": "r1", "failureDomain": "fd1", "address": "10.0.0.9:7000", "role": "router"}],
		"workspaces": [{"id": "coffee", "partitions": 4}],
		"lots": [{"id": "a", "workspace": "coffee", "budget": 250, "expires": "2027-01-01T00:00:00Z"},
			{"id": "b", "workspace": "coffee", "budget": 5, "expires": "2027-02-01T00:00:00Z"}]},
		"rules": {"priorities": [{"workspace": "coffee", "level": 3}], "requests": {"crashLimit": 5}}}`
	invalidConfig = `{"register": {"lots": [{"id": "a", "workspace": "coffee", "budget": -1}]}, "rule": {}}`
)

// fixture runs the tool against an in-memory table and object store.
type fixture struct {
	t       *testing.T
	dir     string
	table   *standin.Table
	objects *standin.ObjectStore
	http    http.RoundTripper
	env     map[string]string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, dir: t.TempDir(), table: standin.NewTable(), objects: standin.NewObjectStore()}
	f.env = map[string]string{"JACKDAW_TABLE": "http://table", "JACKDAW_OBJECTS": "http://objects"}
	for name, text := range map[string]string{"first.json": firstConfig, "second.json": secondConfig, "broken.json": invalidConfig} {
		if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// run executes the tool and returns the exit code and both outputs, without the
// path of the temporary directory.
func (f *fixture) run(args ...string) (int, string, string) {
	f.t.Helper()
	var out, stderr bytes.Buffer
	for i, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[i] = filepath.Join(f.dir, arg)
		}
	}
	code := Run(context.Background(), args, Options{
		Version: "test", Stdout: &out, Stderr: &stderr, Transport: f.http,
		Getenv: func(name string) string { return f.env[name] },
		NewPlatformClients: func(settings.Platform) (storage.Table, storage.ObjectStore, error) {
			return f.table, f.objects, nil
		},
	})
	stripDir := strings.NewReplacer(f.dir+"/", "").Replace
	return code, stripDir(out.String()), stripDir(stderr.String())
}

// expect runs the tool, checks the exit code and returns both outputs.
func (f *fixture) expect(want int, args ...string) (string, string) {
	f.t.Helper()
	code, out, stderr := f.run(args...)
	if code != want {
		f.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, out, stderr)
	}
	return out, stderr
}

func TestCheckPlanAndApply(t *testing.T) {
	f := newFixture(t)
	golden := goldie.New(t)
	_, stderr := f.expect(ExitCheck, "check", "broken.json")
	golden.Assert(t, "check_broken", []byte(stderr))
	f.expect(ExitOK, "check", "first.json")
	f.expect(ExitFailure, "check", "none.json")
	f.expect(ExitCheck, "apply", "broken.json")
	out, _ := f.expect(ExitOK, "plan", "first.json")
	golden.Assert(t, "plan_first", []byte(out))
	f.expect(ExitOK, "apply", "first.json", "--base", "0")
	out, _ = f.expect(ExitOK, "plan", "second.json")
	golden.Assert(t, "plan_second", []byte(out))
	f.expect(ExitUsage, "apply", "second.json")
	f.expect(ExitOK, "apply", "second.json", "--base", "1")
	out, stderr = f.expect(ExitConflict, "apply", "first.json", "--base", "1")
	golden.Assert(t, "conflict", []byte(out+stderr))
	out, _ = f.expect(ExitConflict, "apply", "first.json", "--base", "1", "--json")
	var conflict struct {
		Head  int
		Since []struct{ Version int }
	}
	if err := json.Unmarshal([]byte(out), &conflict); err != nil || conflict.Head != 2 || len(conflict.Since) != 1 {
		t.Errorf("conflict as JSON is %s (error %v), want head 2 and one change since the base", out, err)
	}
	out, _ = f.expect(ExitOK, "plan", "second.json")
	if !strings.HasPrefix(out, "no change\n") {
		t.Errorf("plan of the newest configuration printed %q, want no change", out)
	}
}

func TestUsage(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitUsage)
	f.env = nil
	f.expect(ExitUsage, "plan", "first.json")
	f.expect(ExitUsage, "load", "http://router", "--rate", "0")
}

// put writes a row of the table.
func (f *fixture) put(key, value string) {
	f.t.Helper()
	txn := storage.Transaction{ID: key, Puts: []storage.Put{{Key: key, Value: []byte(value)}}}
	if _, err := f.table.Commit(f.t.Context(), txn); err != nil {
		f.t.Fatal(err)
	}
}

func TestLedger(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "apply", "first.json")
	f.expect(ExitOK, "apply", "second.json", "--base", "1")
	out, _ := f.expect(ExitOK, "ledger")
	goldie.New(t).Assert(t, "ledger", []byte(out))
	f.expect(ExitUsage, "ledger", "--verify", "--export")
	f.expect(ExitUsage, "ledger", "--lot", "coffee")
	f.expect(ExitFailure, "ledger", "--lot", "coffee/none")
	f.put("lot/coffee/c", "{")
	f.expect(ExitFailure, "ledger", "--json")
}

// putGrant writes a grant of lot coffee/a with one batch of bills.
func (f *fixture) putGrant(row ledger.GrantRow, bills ...ledger.Bill) {
	f.t.Helper()
	row.Workspace, row.Lot = "coffee", "a"
	batch := ledger.Batch{Writer: "w", Sections: []ledger.BatchSection{{Grant: row.ID, Workspace: "coffee", Lot: "a", Bills: bills}}}
	var body []byte
	row.LastBatch, body = batch.Encode()
	for _, bill := range bills {
		row.Settled.Add(bill.Sequence)
		row.Billed += bill.Credits
	}
	if err := f.objects.PutIfAbsent(f.t.Context(), ledger.BatchKey(row.LastBatch), body); err != nil {
		f.t.Fatal(err)
	}
	value, err := json.Marshal(row)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(ledger.GrantKey("coffee", "a", row.ID), string(value))
}

func TestLedgerInUse(t *testing.T) {
	f := newFixture(t)
	golden := goldie.New(t)
	lot := `{"workspace": "coffee", "lot": "a", "budget": 250, "expires": "2027-01-01T00:00:00Z", "committed": 130, "retired": true}`
	f.put(ledger.LotKey("coffee", "a"), lot)
	f.putGrant(ledger.GrantRow{
		ID: "r1.5.1", Holder: ledger.Holder{VM: "r1", Incarnation: 5}, State: ledger.GrantOpen, Amount: 80,
	}, ledger.Bill{Sequence: 1, Key: "k1", Credits: 7}, ledger.Bill{Sequence: 2, Key: "k2", Credits: 8})
	f.putGrant(ledger.GrantRow{
		ID: "r2.6.1", Holder: ledger.Holder{VM: "r2", Incarnation: 6}, State: ledger.GrantReclaiming, Amount: 30,
		Open: []ledger.OpenSlot{{Sequence: 4, Credits: 9}},
	}, ledger.Bill{Sequence: 1, Key: "k3", Credits: 3})
	f.putGrant(ledger.GrantRow{
		ID: "r2.4.1", Holder: ledger.Holder{VM: "r2", Incarnation: 4}, State: ledger.GrantClosed, Amount: 20, Unresolved: 20,
	}, ledger.Bill{Sequence: 1, Key: "k4", Credits: 20, Unresolved: true})
	for name, args := range map[string][]string{
		"ledger_in_use": {"ledger"},
		"ledger_lot":    {"ledger", "--lot", "coffee/a", "--json"},
		"ledger_agrees": {"ledger", "--verify"},
		"ledger_export": {"ledger", "--export"},
	} {
		out, _ := f.expect(ExitOK, args...)
		golden.Assert(t, name, []byte(out))
	}
	f.put(ledger.LotKey("coffee", "a"), strings.Replace(lot, "130", "131", 1))
	f.putGrant(ledger.GrantRow{
		ID: "r1.5.1", Holder: ledger.Holder{VM: "r1", Incarnation: 5}, State: ledger.GrantOpen, Amount: 80,
	}, ledger.Bill{Sequence: 1, Key: "k4", Credits: 15})
	out, stderr := f.expect(ExitCheck, "ledger", "--verify")
	golden.Assert(t, "ledger_differs", []byte(out+stderr))
	f.expect(ExitCheck, "ledger", "--verify", "--json")
}

func TestQuarantineAndResolve(t *testing.T) {
	f := newFixture(t)
	f.put(claim.CrashPrefix+"coffee/ab12", `{"crashes": [{"attempt": "1", "at": "2027-01-01T00:00:00Z", "running": 1}], "keys": ["k"]}`)
	out, _ := f.expect(ExitOK, "quarantine")
	if !strings.Contains(out, "WORKSPACE/BODY") {
		t.Errorf("quarantine printed %q, want a table header", out)
	}
	f.expect(ExitUsage, "quarantine", "--release", "coffee")
	f.expect(ExitFailure, "quarantine", "--release", "coffee/none")
	f.expect(ExitOK, "quarantine", "--release", "coffee/ab12")

	key := claim.Key{Workspace: "coffee", Name: "booking/7"}
	row := claim.Row{Workspace: key.Workspace, Key: key.Name, Body: make([]byte, 32), State: claim.RowUnknown}
	f.put(claim.RowKey(key), string(row.Encode()))
	f.put(claim.UnknownOutcomeKey(key), `{"workspace": "coffee", "key": "booking/7", "since": "2027-01-01T00:00:00Z"}`)
	out, _ = f.expect(ExitOK, "resolve")
	if !strings.Contains(out, "coffee/booking/7") {
		t.Errorf("resolve printed %q, want request coffee/booking/7", out)
	}
	f.expect(ExitUsage, "resolve", "--ran", "coffee/booking/7")
	f.expect(ExitUsage, "resolve", "--ran", "coffee/booking/7", "--not-run", "coffee/x", "--operator", "ana")
	f.expect(ExitOK, "resolve", "--not-run", "coffee/booking/7", "--operator", "ana")
	f.expect(ExitFailure, "resolve", "--ran", "coffee/booking/7", "--operator", "ana")
	out, _ = f.expect(ExitOK, "resolve", "--json")
	if strings.TrimSpace(out) != "[]" {
		t.Errorf("resolved request is still listed: %q", out)
	}
}

// fakeDaemons maps the operators' addresses of running processes to their state
// dumps, and serves them to requests with the right token. A process with
// "isolated":true in its dump is not ready.
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
	f := newFixture(t)
	f.expect(ExitOK, "apply", "first.json")
	f.http = fakeDaemons{"10.0.0.1:9000": `{"config":{"version":1,"staleSeconds":0.25}}`}
	f.env["JACKDAW_OPERATOR_TOKEN"] = "secret"
	out, stderr := f.expect(ExitFailure, "status")
	goldie.New(t).Assert(t, "status", []byte(out+stderr))
	out, _ = f.expect(ExitOK, "dump", "10.0.0.1:9000")
	if !strings.Contains(out, `"version":1`) {
		t.Errorf("dump printed %q, want version 1", out)
	}
	f.expect(ExitFailure, "dump", "10.0.0.2:9000")
	f.env["JACKDAW_OPERATOR_TOKEN"] = "other"
	f.expect(ExitFailure, "dump", "10.0.0.1:9000")
	f.http = fakeDaemons{"10.0.0.1:9000": `{"config":{"version":1,"isolated":true}}`}
	f.expect(ExitFailure, "status", "--json")
}
