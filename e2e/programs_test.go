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

// runCtl runs jackdawctl and returns its output; the test ends if it fails.
func runCtl(t *testing.T, layout *quickstart.Layout, args ...string) string {
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

// startProgram starts a program with a settings file.
func startProgram(t *testing.T, program, name, settings string) *process {
	t.Helper()
	p := &process{t: t, name: name, program: program}
	p.run("--settings", settings)
	return p
}

// TestAllAsPrograms guards the quickstart of the README: stand-ins, daemons and the
// operators' tool must work together as separate programs with the settings files
// that the quickstart writes.
func TestAllAsPrograms(t *testing.T) {
	layout, err := quickstart.NewLayout(2, 3)
	check(t, err)
	dir := t.TempDir()
	check(t, layout.Write(dir, layout.Document()))
	file := func(name string) string { return filepath.Join(dir, name) }
	startProgram(t, "jackdaw-standin", "standins", file(quickstart.StandinsFile))
	table := tablehttp.New(layout.Platform.Table, tablehttp.Options{})
	waitFor(t, "the table to respond", func() bool {
		_, err := table.Get(t.Context(), "config/head")
		return err == nil
	})
	runCtl(t, layout, "apply", file(quickstart.RegisterFile))
	var routers, agents []*process
	for _, node := range layout.Routers {
		routers = append(routers, startProgram(t, "jackdaw-router", node.VM, file(node.VM+".json")))
	}
	for _, node := range layout.Agents {
		agents = append(agents, startProgram(t, "jackdaw-agent", node.VM, file(node.VM+".json")))
	}
	check(t, layout.WaitReady(t.Context()))
	client := quickstart.NewClient("http://" + layout.Routers[0].CallerAddress)
	_, err = client.StreamChat(t.Context(), "as programs", "as programs", streamTokens, func(string) {})
	check(t, err)
	status := runCtl(t, layout, "status")
	for _, node := range append(append([]quickstart.Node{}, layout.Routers...), layout.Agents...) {
		if !strings.Contains(status, node.VM) {
			t.Errorf("the output of jackdawctl status does not contain VM %s:\n%s", node.VM, status)
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
		t.Errorf("lot row after all daemons stopped: %+v; want it billed, and nothing else committed", lot)
	}
	if out := runCtl(t, layout, "ledger"); !strings.Contains(out, quickstart.Lot) {
		t.Errorf("the output of jackdawctl ledger does not contain the lot:\n%s", out)
	}
}

const waitTimeout = time.Minute

// waitFor polls until ok returns true. The test fails and ends if that takes longer
// than waitTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
