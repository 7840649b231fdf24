package direct

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawswitch/fuzzseed"
	"jackdawswitch/quarantine"
	"jackdawswitch/routing"
)

// crashBody is a request body that crashes the endpoints of newCrashTestRouter.
const crashBody = "poison"

// newCrashTestRouter starts a router whose endpoints crash on the body crashBody.
func newCrashTestRouter(t *testing.T, n int) *testRouter {
	t.Helper()
	var g *testRouter
	g = newTestRouter(t, n, func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		body := g.bodies[len(g.bodies)-1]
		g.mu.Unlock()
		if body == crashBody {
			resetConnection(w)
			return
		}
		_, _ = w.Write([]byte("done"))
	})
	return g
}

// shareCrashEntries saves a router's record and merges it into another router.
func shareCrashEntries(t *testing.T, from, to *testRouter) {
	t.Helper()
	entries, unsaved := from.router.quarantine.snapshot()
	if !unsaved {
		t.Fatal("no crash entries to save")
	}
	if err := from.router.saveRouterRecord(context.Background(), entries, false); err != nil {
		t.Fatal(err)
	}
	if _, unsaved := from.router.quarantine.snapshot(); unsaved {
		t.Fatal("crash entries remain unsaved after the write")
	}
	rows, err := from.table.Get(context.Background(), routerRecordKey("vm"))
	if err != nil || len(rows) != 1 {
		t.Fatalf("rows of the router record: %v, error %v", rows, err)
	}
	to.router.MergeRouterRecord("vm-other", rows[0].Value)
}

// TestProofARequestThatCrashesEndpointsIsStoppedOnEveryRouter guards against a
// request that crashes one endpoint after another: callers retry it under new IDs
// and at other routers, which only know of the crashes from router records. Other
// requests must not be affected.
func TestProofARequestThatCrashesEndpointsIsStoppedOnEveryRouter(t *testing.T) {
	g, other := newCrashTestRouter(t, 5), newCrashTestRouter(t, 5)
	for i, id := range []string{"p1", "p2", "p3"} {
		if got := g.send(http.MethodPost, "/book/a", crashBody, "T-Id", id); got.status != http.StatusBadGateway {
			t.Fatalf("attempt %d: response %+v", i, got)
		}
	}
	shareCrashEntries(t, g, other)
	for name, r := range map[string]*testRouter{"the router itself": g, "another router": other} {
		before := r.runs()
		got := r.send(http.MethodPost, "/book/a", crashBody, "T-Id", "p4")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" ||
			!strings.Contains(got.body, `"notRun":true`) {
			t.Errorf("%s: response %+v", name, got)
		}
		if r.runs() != before {
			t.Errorf("%s: the request reached an endpoint", name)
		}
		if got := r.send(http.MethodPost, "/book/a", "sound", "T-Id", "s"); got.status != http.StatusOK {
			t.Errorf("%s: response to another request: %+v", name, got)
		}
	}
}

// The crash breaks several of them at once.
func TestProofOneCrashDoesNotQuarantineItsIdenticalRequests(t *testing.T) {
	const atOnce = 5
	arrived := make(chan struct{}, atOnce)
	crash := make(chan struct{})
	g, other := newTestRouter(t, 3, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-crash:
			_, _ = w.Write([]byte("done"))
		default:
			arrived <- struct{}{}
			<-crash
			resetConnection(w)
		}
	}), newCrashTestRouter(t, 3)
	var group sync.WaitGroup
	for i := range atOnce {
		group.Go(func() { g.send(http.MethodPost, "/book/a", "popular", "T-Id", "p"+strconv.Itoa(i)) })
	}
	for range atOnce {
		<-arrived
	}
	time.Sleep(20 * time.Millisecond)
	close(crash)
	group.Wait()
	shareCrashEntries(t, g, other)
	for name, r := range map[string]*testRouter{"the router itself": g, "another router": other} {
		if got := r.send(http.MethodPost, "/book/a", "popular", "T-Id", "q"); got.status != http.StatusOK {
			t.Errorf("%s: response to a sound request after one crash: %+v", name, got)
		}
	}
}

func TestRequestIsNotRetriedOnceQuarantined(t *testing.T) {
	g := newCrashTestRouter(t, 5)
	// A repeatable request has two attempts. The second attempt of the second
	// request would be the fourth run.
	for _, id := range []string{"p1", "p2"} {
		g.send(http.MethodPost, "/read/a", crashBody, "T-Id", id)
	}
	if g.runs() != crashLimit {
		t.Fatalf("%d runs, want the crash limit", g.runs())
	}
}

func TestResponseResetsCrashCount(t *testing.T) {
	const hour = int64(time.Hour / time.Millisecond)
	tracker := newCrashTracker()
	crash := func(attempt, endpoint string, at int64) bool {
		return tracker.record(crashEntry{Request: "r", Attempt: attempt, Endpoint: endpoint, AtMS: at}).Quarantined()
	}
	if crash("1", "a", hour) || crash("2", "b", hour+1) {
		t.Fatal("quarantined after fewer than three crashes")
	}
	tracker.record(crashEntry{Request: "r", Attempt: "3", AtMS: hour + 2})
	if crash("4", "c", hour+3) || crash("5", "c", hour+4) || crash("5", "c", hour+4) {
		t.Fatal("crashes before a response count, or one entry counts twice")
	}
	if !crash("6", "c", hour+6) {
		t.Fatal("not quarantined after three crashes")
	}
	if tracker.expire(hour + 7 + crashRetention.Milliseconds()); !tracker.empty() {
		t.Fatal("crash records remain after their retention")
	}
}

func TestResponseWithoutCrashesIsNotRecorded(t *testing.T) {
	tracker := newCrashTracker()
	tracker.record(crashEntry{Request: "r", Attempt: "1", AtMS: 5})
	if _, unsaved := tracker.snapshot(); unsaved || !tracker.empty() {
		t.Fatal("a response without crashes was recorded")
	}
}

func TestCrashEntriesOfAPredecessorAreKept(t *testing.T) {
	tracker := newCrashTracker()
	tracker.merge([]crashEntry{{Request: "r", Attempt: "1", Endpoint: "a", AtMS: 5}}, true)
	tracker.record(crashEntry{Request: "q", Attempt: "2", Endpoint: "b", AtMS: 6})
	if entries, unsaved := tracker.snapshot(); !unsaved || len(entries) != 2 {
		t.Fatalf("crash entries: %+v", entries)
	}
}

func TestOwnCrashEntriesAreBounded(t *testing.T) {
	tracker := newCrashTracker()
	for i := range int64(2 * maxCrashEntries) {
		tracker.record(crashEntry{Request: "r", Attempt: "a", Endpoint: "e", AtMS: i})
	}
	entries, _ := tracker.snapshot()
	if len(entries) != maxCrashEntries || entries[0].AtMS != maxCrashEntries {
		t.Fatalf("%d entries, oldest from %d ms", len(entries), entries[0].AtMS)
	}
	if tracker.markSaved(entries[:1]); !tracker.ownUnsaved {
		t.Fatal("entries newer than the write count as saved")
	}
	if tracker.markSaved(entries); tracker.ownUnsaved {
		t.Fatal("entries remain unsaved after the write")
	}
}

func TestInvalidRouterRecordsAreIgnored(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	for _, data := range []string{"", "{", `{"crashes":[{"atMs":"x"}]}`, `[]`} {
		if _, err := decodeRouterRecord("vm", []byte(data)); err == nil {
			t.Errorf("invalid router record %q was decoded", data)
		}
		g.router.MergeRouterRecord("vm", []byte(data))
	}
	if !g.router.quarantine.empty() {
		t.Fatal("crash entries of an invalid router record were merged")
	}
}

func FuzzDecodeRouterRecord(f *testing.F) {
	sample := `{"incarnation":7,"address":"10.0.0.1:7340","crashes":[{"request":"ab","attempt":"r/e","endpoint":"e","atMs":17},{"request":"cd","attempt":"q/e","atMs":18}]}`
	for _, input := range fuzzseed.From([]byte(sample)) {
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := decodeRouterRecord("vm", data)
		if err != nil {
			return
		}
		tracker := newCrashTracker()
		tracker.merge(record.Crashes, true)
		tracker.expire(0)
		if got, _ := tracker.snapshot(); len(got) > maxCrashEntries {
			t.Fatalf("%d crash entries", len(got))
		}
	})
}

// maxRowBytes is the limit of a row in the table service.
const maxRowBytes = 64 << 10

// storedRecordBytes saves the router's record and returns its size.
func storedRecordBytes(t *testing.T, g *testRouter) int {
	t.Helper()
	entries, _ := g.router.quarantine.snapshot()
	if err := g.router.saveRouterRecord(context.Background(), entries, false); err != nil {
		t.Fatal(err)
	}
	rows, err := g.table.Get(context.Background(), routerRecordKey("vm"))
	if err != nil || len(rows) != 1 {
		t.Fatalf("rows of the router record: %v, error %v", rows, err)
	}
	return len(rows[0].Value)
}

// A record that exceeds a row is never stored again.
func TestProofTheLargestRouterRecordFitsIntoARow(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	now := time.Now().UnixMilli()
	for i := range maxCrashEntries {
		id := fmt.Sprintf("%016x/i-%010x", i, i)
		g.router.quarantine.record(crashEntry{Request: fingerprint("w", id, nil), Attempt: id, Endpoint: id[17:], SentMS: now - 1, AtMS: now + int64(i)})
	}
	var crashes []quarantine.Crash
	var answers []quarantine.Answer
	for i := range maxPartCrashes {
		crash := quarantine.Crash{Endpoint: fmt.Sprintf("i-%010x", i), AtMS: now + int64(i)}
		for j := range quarantine.MaxReported {
			crash.Suspects = append(crash.Suspects, quarantine.Suspect{Part: fmt.Sprintf("%08x%08x", i, j), AnsweredMS: now})
		}
		crashes = append(crashes, crash)
	}
	for i := range maxPartAnswers {
		answers = append(answers, quarantine.Answer{Part: fmt.Sprintf("%016x", i), AtMS: now})
	}
	g.router.partCrashes.merge(crashes, answers, true)
	var list []routing.PromptEndpoint
	for i := range 1000 {
		list = append(list, routing.PromptEndpoint{Service: fmt.Sprintf("s-%010x", i), Version: "v1"})
	}
	g.router.streams.setEndpoints(time.Now(), list)
	g.router.streams.setEndpoints(time.Now(), nil)
	if got := storedRecordBytes(t, g); got > maxRowBytes {
		t.Errorf("the record has %d bytes, a row at most %d", got, maxRowBytes)
	}
	if versions, inPart, _ := g.router.streams.published(now); !inPart || len(versions) == 0 {
		t.Errorf("%d versions are published, in part: %v", len(versions), inPart)
	}
	published, _, _ := g.router.partCrashes.published()
	if last := published[len(published)-1]; last.Endpoint != crashes[len(crashes)-1].Endpoint {
		t.Errorf("the last crash isn't published but that of %s", last.Endpoint)
	}
}

// Callers choose their request IDs.
func TestProofLongRequestIDsDontFillTheRouterRecord(t *testing.T) {
	g := newCrashTestRouter(t, 3)
	for i := range 20 {
		g.send(http.MethodPost, "/book/"+strconv.Itoa(i), crashBody, "T-Id", strings.Repeat("x", 8<<10)+strconv.Itoa(i))
	}
	if got := storedRecordBytes(t, g); got > maxRowBytes {
		t.Errorf("the record has %d bytes, a row at most %d", got, maxRowBytes)
	}
}
