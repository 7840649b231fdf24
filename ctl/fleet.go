package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/direct"
)

const (
	defaultFleetTimeout = 3 * time.Second

	// maxDumpBytes bounds the dump of one router. An endpoint takes some 200 bytes of it.
	maxDumpBytes = 16 << 20
)

// fleetFlags are the flags of the fleet command.
type fleetFlags struct {
	routers   []string
	file      string
	workspace string
	endpoints bool
	timeout   time.Duration
}

// FleetRouter is the answer of the router at an operators' address.
type FleetRouter struct {
	Address string `json:"address"`
	// Failure tells why there is no dump; empty if there is one.
	Failure string `json:"failure,omitempty"`
	// Dump is nil if the router didn't answer. It lacks the endpoints.
	Dump *direct.Dump `json:"state,omitempty"`
}

// InvalidDumpError reports that a response is not the dump of a router.
type InvalidDumpError struct{ Cause error }

// Error implements error.
func (e *InvalidDumpError) Error() string {
	if e.Cause == nil {
		return "response is not the state of a router: it names no VM"
	}
	return "response is not the state of a router: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidDumpError) Unwrap() error { return e.Cause }

// IncompleteError reports that some routers gave no state.
type IncompleteError struct{ Addresses []string }

// Error implements error.
func (e *IncompleteError) Error() string {
	return "no state of: " + strings.Join(e.Addresses, ", ")
}

func runFleet(ctx context.Context, t *Tool, _ []string) error {
	addresses, err := t.flags.fleet.addresses()
	if err != nil {
		return err
	}
	routers := t.queryFleet(ctx, addresses)
	switch {
	case t.flags.fleet.workspace != "":
		err = t.showBudget(newFleetBudget(t.flags.fleet.workspace, routers))
	case t.flags.fleet.endpoints:
		err = t.showAvoided(newFleetAvoided(routers))
	default:
		if err = t.showRouters(routers); err == nil {
			err = notReady(routers)
		}
	}
	var unready *NotReadyError
	if missing := unanswered(routers); len(missing) > 0 && (err == nil || errors.As(err, &unready)) {
		return &IncompleteError{Addresses: missing}
	}
	return err
}

// addresses returns the addresses of the flags and the file, each once. Its errors are
// *UsageError and those of reading the file.
func (f *fleetFlags) addresses() ([]string, error) {
	if f.workspace != "" && f.endpoints {
		return nil, &UsageError{Problem: "--workspace and --endpoints exclude each other"}
	}
	if f.timeout <= 0 {
		return nil, &UsageError{Problem: "--timeout must be above 0"}
	}
	fields := strings.Split(strings.Join(f.routers, ","), ",")
	if f.file != "" {
		data, err := os.ReadFile(f.file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		fields = append(fields, strings.Split(string(data), "\n")...)
	}
	var out []string
	for _, field := range fields {
		field = strings.TrimSpace(field)
		if field != "" && !strings.HasPrefix(field, "#") {
			out = append(out, field)
		}
	}
	slices.Sort(out)
	if out = slices.Compact(out); len(out) == 0 {
		return nil, &UsageError{Problem: "--routers or --file must name the operators' address of a router"}
	}
	return out, nil
}

// queryFleet asks all routers, at most maxConcurrentRequests at once. It returns their
// answers sorted by VM, those without an answer last.
func (t *Tool) queryFleet(ctx context.Context, addresses []string) []FleetRouter {
	routers := make([]FleetRouter, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, address := range addresses {
		group.Go(func() error {
			routers[i] = t.queryRouter(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortStableFunc(routers, func(a, b FleetRouter) int {
		if a.Dump == nil || b.Dump == nil {
			return cmp.Compare(len(a.Failure), 0) - cmp.Compare(len(b.Failure), 0)
		}
		return cmp.Compare(a.Dump.VM, b.Dump.VM)
	})
	return routers
}

func (t *Tool) queryRouter(ctx context.Context, address string) FleetRouter {
	ctx, cancel := context.WithTimeout(ctx, t.flags.fleet.timeout)
	defer cancel()
	body, err := t.queryDaemon(ctx, address, dumpPath, maxDumpBytes)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return FleetRouter{Address: address, Failure: "no complete answer within " + t.flags.fleet.timeout.String()}
		}
		return FleetRouter{Address: address, Failure: err.Error()}
	}
	dump, err := decodeDump(body)
	if err != nil {
		return FleetRouter{Address: address, Failure: err.Error()}
	}
	return FleetRouter{Address: address, Dump: dump}
}

// unread is a JSON value that isn't kept.
type unread struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (unread) UnmarshalJSON([]byte) error { return nil }

// decodeDump returns a router's dump without its endpoints, of which a fleet has many. Its
// errors are *InvalidDumpError.
func decodeDump(body []byte) (*direct.Dump, error) {
	var state struct {
		direct.Dump
		Endpoints *unread `json:"endpoints"`
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, &InvalidDumpError{Cause: err}
	}
	if state.VM == "" {
		return nil, &InvalidDumpError{}
	}
	return &state.Dump, nil
}

// unanswered returns the addresses without an answer.
func unanswered(routers []FleetRouter) []string {
	out := []string{}
	for _, r := range routers {
		if r.Dump == nil {
			out = append(out, r.Address)
		}
	}
	return out
}

// notReady returns a *NotReadyError if a router answered that it isn't ready.
func notReady(routers []FleetRouter) error {
	e := &NotReadyError{}
	for _, r := range routers {
		if r.Dump != nil && !r.Dump.Ready {
			e.VMs = append(e.VMs, r.Dump.VM)
		}
	}
	if len(e.VMs) > 0 {
		return e
	}
	return nil
}

// FleetVersion is a configuration version and the number of routers that have it in force.
type FleetVersion struct {
	Version uint64 `json:"version"`
	Routers int    `json:"routers"`
}

// fleetVersions returns the versions in force, the newest first.
func fleetVersions(routers []FleetRouter) []FleetVersion {
	counts := make(map[uint64]int)
	for _, r := range routers {
		if r.Dump != nil {
			counts[r.Dump.ConfigVersion]++
		}
	}
	out := make([]FleetVersion, 0, len(counts))
	for version, count := range counts {
		out = append(out, FleetVersion{Version: version, Routers: count})
	}
	slices.SortFunc(out, func(a, b FleetVersion) int { return cmp.Compare(b.Version, a.Version) })
	return out
}

// fleetStatus is the JSON of the routers.
type fleetStatus struct {
	Versions []FleetVersion `json:"versions"`
	Routers  []FleetRouter  `json:"routers"`
}

func (t *Tool) showRouters(routers []FleetRouter) error {
	versions := fleetVersions(routers)
	if t.flags.jsonOutput {
		return t.printJSON(fleetStatus{Versions: versions, Routers: routers})
	}
	for _, v := range versions {
		if err := t.print("configuration version %d in force at %d of %d routers\n", v.Version, v.Routers, len(routers)); err != nil {
			return err
		}
	}
	return t.printTable(func(inner *Tool) error {
		if err := inner.print("ADDRESS\tVM\tSTATE\tVERSION\tPEERS\tSHED\tLINK\tLAG\tHOLD\tLENT\tHANDOVERS\tUNRESOLVED\tNOTE\n"); err != nil {
			return err
		}
		for _, r := range routers {
			if err := inner.printRouter(r); err != nil {
				return err
			}
		}
		return nil
	})
}

func (t *Tool) printRouter(r FleetRouter) error {
	if r.Dump == nil {
		return t.print("%s\t-\tno answer\t-\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", r.Address, r.Failure)
	}
	d, state := r.Dump, "unready"
	switch {
	case d.Draining:
		state = "draining"
	case d.Ready:
		state = "ready"
	}
	var reasons []string
	for _, reason := range d.Unready {
		reasons = append(reasons, string(reason))
	}
	handOvers := strconv.Itoa(d.HandOvers)
	if d.HandOvers < 0 {
		handOvers = "unknown"
	}
	unresolved := 0
	for _, account := range d.Credit {
		if account.Unresolved {
			unresolved++
		}
	}
	return t.print("%s\t%s\t%s\t%d\t%d\t%.0f%%\t%.0f%%\t%.1fms\t%.1fms\t%d\t%s\t%d\t%s\n", r.Address, d.VM, state,
		d.ConfigVersion, d.Peers, 100*d.Pressure.ShedShare, 100*d.Pressure.LinkShare, d.Pressure.LagMS, d.Pressure.EventHoldMS,
		d.Lent, handOvers, unresolved, strings.Join(reasons, ", "))
}
