package e2e

import (
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"jackdawswitch/ledger"
	"jackdawswitch/quickstart"
	"jackdawswitch/storage/tablehttp"
)

// ctl runs jackdawctl and returns its output.
func ctl(t *testing.T, layout *quickstart.Layout, args ...string) string {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "jackdawctl"), args...)
	cmd.Env = append(cmd.Environ(),
		"JACKDAW_TABLE="+layout.Platform.Table,
		"JACKDAW_OBJECTS="+layout.Platform.ObjectStore,
		"JACKDAW_OPERATOR_TOKEN="+quickstart.OperatorToken,
	)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("jackdawctl %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

func start(t *testing.T, program, name, settings string) *process {
	t.Helper()
	p := &process{t: t, name: name, path: program}
	p.run("--settings", settings)
	return p
}

// TestAllAsPrograms runs what the README shows: the stand-ins, the daemons and
// the operators' tool as programs, from the files of the example.
func TestAllAsPrograms(t *testing.T) {
	layout, err := quickstart.NewLayout(2, 3)
	check(t, err)
	dir := t.TempDir()
	check(t, layout.Write(dir, layout.Document()))
	file := func(name string) string { return filepath.Join(dir, name) }
	start(t, "jackdaw-standin", "standins", file(quickstart.StandinsFile))
	table := tablehttp.New(layout.Platform.Table, tablehttp.Options{})
	waitFor(t, "the table", func() bool {
		_, err := table.Get(t.Context(), "config/head")
		return err == nil
	})
	ctl(t, layout, "apply", file(quickstart.RegisterFile))
	var routers, agents []*process
	for _, node := range layout.Routers {
		routers = append(routers, start(t, "jackdaw-router", node.VM, file(node.VM+".json")))
	}
	for _, node := range layout.Agents {
		agents = append(agents, start(t, "jackdaw-agent", node.VM, file(node.VM+".json")))
	}
	check(t, layout.WaitReady(t.Context()))
	client := quickstart.NewClient("http://" + layout.Routers[0].Callers)
	_, err = client.StreamChat(t.Context(), "as programs", "as programs", streamTokens, func(string) {})
	check(t, err)
	status := ctl(t, layout, "status")
	for _, node := range append(append([]quickstart.Node{}, layout.Routers...), layout.Agents...) {
		if !strings.Contains(status, node.VM) {
			t.Errorf("status does not name %s:\n%s", node.VM, status)
		}
	}
	for _, p := range append(agents, routers...) {
		p.drain()
	}
	rows, err := table.Get(context.Background(), ledger.LotKey(quickstart.Workspace, quickstart.Lot))
	check(t, err)
	var lot ledger.LotRow
	check(t, json.Unmarshal(rows[0].Value, &lot))
	if lot.Billed == 0 || lot.Committed != lot.Billed {
		t.Errorf("after the stop: %+v", lot)
	}
	if out := ctl(t, layout, "ledger"); !strings.Contains(out, quickstart.Lot) {
		t.Errorf("ledger does not name the lot:\n%s", out)
	}
}

const waitLimit = time.Minute

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not come", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
