package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/configsync"
	"jackdawswitch/router"
)

const (
	tightBudget    = 4_000
	budgetIncrease = 200
	operatorCount  = 3
	maxEditPause   = 4 * time.Second
)

// runOperator edits the register until ctx ends. Each edit adds a workspace, and some
// also raise the lot's budget. It returns the IDs of the workspaces whose edits were
// accepted.
func (w *world) runOperator(ctx context.Context, random *rand.Rand, name string) []string {
	var accepted []string
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Duration(random.Int64N(int64(maxEditPause))))
		id := fmt.Sprintf("added-%s-%d", name, i)
		if w.addWorkspace(id, random.IntN(2) == 0) {
			accepted = append(accepted, id)
		}
	}
	return accepted
}

// addWorkspace makes one edit and reports whether it was accepted. If the outcome of
// the write is unknown, it looks the workspace up in the newest document.
func (w *world) addWorkspace(id string, raiseBudget bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	doc, base, err := configsync.Load(ctx, w.table, w.objects)
	if err != nil {
		return false
	}
	edited := *doc
	edited.Register.Workspaces = append(append([]config.Workspace{}, doc.Register.Workspaces...), config.Workspace{ID: id})
	edited.Register.Lots = append([]config.Lot{}, doc.Register.Lots...)
	if raiseBudget {
		edited.Register.Lots[0].Budget += budgetIncrease
	}
	_, err = configsync.Apply(ctx, w.table, w.objects, base, &edited)
	var unknown *configsync.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return w.documentHas(id)
	}
	return err == nil
}

// documentHas reports whether the newest document has the workspace. It retries
// until the document can be read.
func (w *world) documentHas(id string) bool {
	for {
		doc, _, err := configsync.Load(context.Background(), w.table, w.objects)
		if err == nil {
			return doc.Workspace(id) != nil
		}
		time.Sleep(time.Second)
	}
}

// watchVersions checks every 500 ms that no router goes back to an older version of
// the configuration.
func (w *world) watchVersions(ctx context.Context) {
	seen := make(map[*router.Router]uint64)
	for ctx.Err() == nil {
		for _, n := range w.routers {
			r := n.router()
			version := r.Dump().(router.Dump).Config.(configsync.Dump).Version
			if version < seen[r] {
				w.t.Errorf("%s went back from configuration version %d to %d", n.name, seen[r], version)
			}
			seen[r] = version
		}
		pause(ctx, 500*time.Millisecond)
	}
}

// checkVersions checks that every router has the newest configuration, and that it
// contains every accepted edit.
func (w *world) checkVersions(accepted []string) {
	doc, newest, err := configsync.Load(context.Background(), w.table, w.objects)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, n := range w.routers {
		version := n.router().Dump().(router.Dump).Config.(configsync.Dump).Version
		if version != newest {
			w.t.Errorf("%s has configuration version %d, the newest is %d", n.name, version, newest)
		}
	}
	for _, id := range accepted {
		if doc.Workspace(id) == nil {
			w.t.Errorf("workspace %s of an accepted edit is missing", id)
		}
	}
}

// TestProofBudgetAndConfigurationUnderFaults guards against overspent lots, lost edits
// and configurations that revert. The lot runs out of credit repeatedly while
// concurrent operators raise its budget and faults are injected.
func TestProofBudgetAndConfigurationUnderFaults(t *testing.T) {
	for _, seed := range []uint64{11, 12} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runBudgetSeed(t, seed) })
		})
	}
}

func runBudgetSeed(t *testing.T, seed uint64) {
	w := newWorldWith(t, 3, 4, func(doc *config.Document) { doc.Register.Lots[0].Budget = tightBudget })
	defer w.close()
	ctx, stop := context.WithCancel(context.Background())
	var editing, watching sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for i := range operatorCount {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		editing.Go(func() {
			ids := w.runOperator(ctx, random, fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, ids...)
		})
	}
	watchCtx, stopWatching := context.WithCancel(context.Background())
	watching.Go(func() { w.watchVersions(watchCtx) })
	w.beforeStop = func() {
		stop()
		editing.Wait()
		time.Sleep(10 * time.Second)
		w.checkVersions(accepted)
		stopWatching()
		watching.Wait()
	}
	requests := w.run(seed, runLength())
	totals := w.checkAll(requests)
	t.Logf("seed %d: %d edits accepted, %+v", seed, len(accepted), totals)
}

// crashMark is the prompt that crashes a stand-in engine.
const crashMark = "take the endpoint down"

// TestProofCrashingRequestIsQuarantined guards against a request that crashes every
// endpoint on which it runs: sent again and again, it must be quarantined after a
// few crashes, while the requests of other clients are completed.
func TestProofCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 3, 4, nil)
		defer w.close()
		time.Sleep(10 * time.Second)
		var others sync.WaitGroup
		random := rand.New(rand.NewPCG(21, 0))
		for i := range clientCount {
			req := &clientRequest{key: fmt.Sprintf("innocent-%d", i), prompt: fmt.Sprintf("innocent %d", i), stream: true}
			clientRandom := rand.New(rand.NewPCG(21, uint64(i)))
			others.Go(func() {
				time.Sleep(time.Duration(clientRandom.IntN(20_000)) * time.Millisecond)
				w.sendUntilDone(clientRandom, req)
				if !req.complete {
					t.Errorf("%s has no complete response; errors: %q", req.key, req.errors)
				}
			})
		}
		refused := 0
		for i := range 30 {
			req := &clientRequest{key: fmt.Sprintf("guilty-%d", i), prompt: crashMark}
			err := w.send(context.Background(), req, random.IntN(len(w.routers)))
			if err == nil {
				t.Errorf("the crashing request got a response")
			} else if strings.Contains(err.Error(), `"quarantined"`) {
				refused++
			}
			time.Sleep(time.Second)
		}
		others.Wait()
		var crashes int64
		for _, engine := range w.engines {
			crashes += engine.Stats().Crashes
		}
		t.Logf("%d crashes, %d of 30 requests refused as quarantined", crashes, refused)
		if crashes > maxCrashes || refused < 20 {
			t.Errorf("%d crashes and %d refusals, want at most %d and at least 20", crashes, refused, maxCrashes)
		}
	})
}

// maxCrashes is the crash limit of the rules times the number of routers, as each router
// may dispatch the request until it has received the quarantine.
const maxCrashes = 6
