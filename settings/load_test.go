package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"jackdawswitch/strictjson"
)

const validRouter = `{
	"identity": {"vm": "r1", "failureDomain": "fd1", "region": "walvis"},
	"callers": "10.0.0.1:8080", "listen": "10.0.0.1:7000",
	"operators": {"listen": "10.0.0.1:9000"},
	"platform": {"table": "http://10.0.9.1:80", "objectStore": "http://10.0.9.1:81", "vmList": "https://10.0.9.1"},
	"seeds": ["10.0.0.2:7000"]
}`

const validAgent = `{
	"identity": {"vm": "e1", "failureDomain": "fd1", "region": "walvis"},
	"endpoint": "notes-1", "listen": "10.0.1.1:7000", "operators": {"listen": "10.0.1.1:9000"},
	"backend": "http://127.0.0.1:8000", "kind": "model", "routers": ["10.0.0.1:7000"]
}`

func TestDefaultsAreFilledIn(t *testing.T) {
	router, err := DecodeRouter("router.json", []byte(validRouter))
	if err != nil || router.DrainSeconds != defaultDrainSeconds || router.BalancerDelaySeconds != defaultBalancerDelaySeconds {
		t.Errorf("got %+v, %v", router, err)
	}
	agent, err := DecodeAgent("agent.json", []byte(validAgent))
	if err != nil || agent.Slots != defaultSlots || agent.KeepBytes != defaultKeepBytes {
		t.Errorf("got %+v, %v", agent, err)
	}
}

func faultPaths(t *testing.T, err error) []string {
	t.Helper()
	var faults *strictjson.Error
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want faults", err)
	}
	var paths []string
	for _, fault := range faults.Faults {
		paths = append(paths, fault.Path)
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

func TestDecodeReportsAllFaultsAtOnce(t *testing.T) {
	_, err := DecodeRouter("", []byte(`{"listen": "0.0.0.0:7000", "callers": 7, "operators": {"listen": "0.0.0.0:7000",
		"tokenHash": "ab"}, "platform": {"table": "10.0.9.1:80"}, "tls": {"key": "k"}, "seeds": ["b:1"],
		"drainSeconds": -1, "extra": {}}`))
	want := "$.advertise $.callers $.drainSeconds $.extra $.identity.failureDomain $.identity.region $.identity.vm " +
		"$.operators.listen $.operators.tokenHash $.platform.objectStore $.platform.table $.platform.vmList " +
		"$.seeds[0] $.tls.authority $.tls.certificate"
	if got := strings.Join(faultPaths(t, err), " "); got != want {
		t.Errorf("router:\ngot  %s\nwant %s", got, want)
	}
	_, err = DecodeAgent("", []byte(`{"slots": 0, "queueLimit": -1, "keepSeconds": 0, "keepBytes": 0, "kind": "x"}`))
	want = "$.backend $.endpoint $.identity.failureDomain $.identity.region $.identity.vm $.keepBytes $.keepSeconds " +
		"$.kind $.listen $.operators.listen $.queueLimit $.routers $.slots"
	if got := strings.Join(faultPaths(t, err), " "); got != want {
		t.Errorf("agent:\ngot  %s\nwant %s", got, want)
	}
}

func TestSettingsFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.json")
	_, err := LoadRouter(path)
	var readErr *ReadError
	if !errors.As(err, &readErr) {
		t.Errorf("got %v, want a read error", err)
	}
	if err := os.WriteFile(path, []byte(validRouter), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadRouter(path); err != nil {
		t.Error(err)
	}
	if _, err := LoadAgent(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("got %v, want faults that name the file", err)
	}
}

// FuzzSettings checks that accepted settings survive a round trip through JSON
// with the same values.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validRouter))
	f.Add([]byte(validAgent))
	f.Add([]byte(`{"identity": null}`))
	f.Add([]byte(strings.Replace(validRouter, `"seeds"`, `"tls": {"certificate": "a", "key": "b", "authority": "c"}, "seeds"`, 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		if router, err := DecodeRouter("", data); err == nil {
			checkRoundTrip(t, router, func(data []byte) (any, error) { return DecodeRouter("", data) })
		}
		if agent, err := DecodeAgent("", data); err == nil {
			checkRoundTrip(t, agent, func(data []byte) (any, error) { return DecodeAgent("", data) })
		}
	})
}

func checkRoundTrip(t *testing.T, value any, decode func([]byte) (any, error)) {
	t.Helper()
	first, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decode(first)
	if err != nil {
		t.Fatalf("settings were accepted, but their encoding %s is rejected: %v", first, err)
	}
	second, err := json.Marshal(decoded)
	if err != nil || string(first) != string(second) {
		t.Fatalf("encoded as %s, after a round trip as %s, %v", first, second, err)
	}
}
