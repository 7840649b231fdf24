package configsync

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"jackdawswitch/config"
	"jackdawswitch/storage"

	pb "jackdawswitch/api/jackdawv1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes every run draw the same cases.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "100")
	os.Exit(m.Run())
}

// virtualTimeT hides Deadline from rapid, as it must not be called inside a
// synctest bubble.
type virtualTimeT struct{ *testing.T }

// fleetModel is a fleet of stores without goroutines. The state machine test
// delivers each message itself, so it can lose, repeat and reorder messages.
type fleetModel struct {
	table     *fakeTable
	retention retentionPolicy
	stores    []*Store
	// accepted is the oracle: the accepted documents, indexed by version.
	accepted []*config.Document
	// highest is the highest version that each store has had since its start.
	highest  []uint64
	messages []message
	// views are the documents that the operators loaded last.
	views []operatorView
}

type message struct {
	to       int
	response *pb.GetChangesResponse
}

type operatorView struct {
	version uint64
	doc     *config.Document
}

const (
	storeCount    = 4
	operatorCount = 3
)

func newFleetModel(policy retentionPolicy) *fleetModel {
	m := &fleetModel{table: newFakeTable(), retention: policy, accepted: []*config.Document{emptyDocument()}}
	for range storeCount {
		m.stores = append(m.stores, m.newStore())
		m.highest = append(m.highest, 0)
	}
	for range operatorCount {
		m.views = append(m.views, operatorView{doc: emptyDocument()})
	}
	return m
}

func (m *fleetModel) newStore() *Store {
	store := New(Options{Table: m.table, Objects: fakeObjects{m.table}, Seed: 1})
	store.replica.maxLog = 3
	return store
}

func (m *fleetModel) head() uint64 { return uint64(len(m.accepted) - 1) }

func (m *fleetModel) loadView(t *rapid.T) {
	operator := rapid.IntRange(0, operatorCount-1).Draw(t, "operator")
	doc, version, err := Load(context.Background(), m.table, fakeObjects{m.table})
	if err != nil {
		return
	}
	m.checkDocument(t, doc, version, "an operator's view")
	if version != m.head() {
		t.Fatalf("an operator sees version %d, the newest accepted is %d", version, m.head())
	}
	m.views[operator] = operatorView{version: version, doc: doc}
}

// applyEdit changes one lot in the operator's view and applies the result.
func (m *fleetModel) applyEdit(t *rapid.T) {
	operator := rapid.IntRange(0, operatorCount-1).Draw(t, "operator")
	if rapid.IntRange(0, 3).Draw(t, "stale") > 0 {
		m.views[operator] = operatorView{version: m.head(), doc: m.accepted[m.head()]}
	}
	baseView := m.views[operator]
	doc, err := config.Apply(baseView.doc, m.drawEdit(t, baseView.doc))
	if err != nil {
		t.Fatal(err)
	}
	m.table.loseResponses = rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "lost answers")
	m.table.dropRequests = rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "lost requests")
	m.table.delayRequests = rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "delayed requests")
	m.table.failedReadsAfterFault = rapid.IntRange(0, 2).Draw(t, "failing reads")
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		m.table.beforeCommit = func() { m.racingEdit(t) }
	}
	before := m.head()
	version, err := m.apply(baseView.version, doc)
	m.table.loseResponses, m.table.dropRequests, m.table.delayRequests, m.table.beforeCommit = 0, 0, 0, nil
	m.table.readsToFail = 0
	m.checkOutcome(t, before, baseView, doc, version, err)
}

func (m *fleetModel) apply(base uint64, doc *config.Document) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a := &applier{
		reader:    reader{table: m.table, objects: fakeObjects{m.table}},
		retention: m.retention, baseVersion: base, doc: doc,
	}
	return a.applyWithRetries(ctx)
}

// racingEdit is another operator's edit that is applied while the first commits.
func (m *fleetModel) racingEdit(t *rapid.T) {
	lose, drop, delay := m.table.loseResponses, m.table.dropRequests, m.table.delayRequests
	m.table.loseResponses, m.table.dropRequests, m.table.delayRequests, m.table.readsToFail = 0, 0, 0, 0
	newest := m.accepted[m.head()]
	doc, err := config.Apply(newest, m.drawEdit(t, newest))
	if err != nil {
		t.Fatal(err)
	}
	before := m.head()
	version, err := m.apply(before, doc)
	m.checkOutcome(t, before, operatorView{version: before, doc: newest}, doc, version, err)
	m.table.loseResponses, m.table.dropRequests, m.table.delayRequests = lose, drop, delay
}

// deliverDelayed delivers the delayed commit requests.
func (m *fleetModel) deliverDelayed(*rapid.T) {
	m.table.set((*fakeTable).deliverDelayedLocked)
}

// checkOutcome compares the outcome of an edit with the oracle.
func (m *fleetModel) checkOutcome(t *rapid.T, before uint64, baseView operatorView, doc *config.Document, version uint64, err error) {
	var conflict *ConflictError
	switch {
	case err == nil && version <= m.head():
		if !config.Diff(m.accepted[version], doc).Empty() {
			t.Fatalf("the edit was reported as accepted in version %d, which holds another document", version)
		}
	case err == nil:
		if version != m.head()+1 || baseView.version != m.head() {
			t.Fatalf("version %d accepted with base version %d at head %d", version, baseView.version, m.head())
		}
		m.accepted = append(m.accepted, doc)
	case errors.As(err, &conflict):
		if conflict.Head != m.head() || (baseView.version == before && before == m.head()) {
			t.Fatalf("conflict %+v at head %d", conflict, m.head())
		}
		if conflict.Complete && uint64(len(conflict.Since)) != conflict.Head-conflict.Base {
			t.Fatalf("the conflict lists %d of %d changes", len(conflict.Since), conflict.Head-conflict.Base)
		}
	case storage.IsKind(err, storage.KindUnavailable):
		// Nothing was written, so the oracle stays. Later loads would differ from
		// it if the change had taken effect.
	default:
		t.Fatalf("apply: %v", err)
	}
}

func (m *fleetModel) drawEdit(t *rapid.T, doc *config.Document) config.Change {
	id := fmt.Sprintf("lot-%d", rapid.IntRange(0, 3).Draw(t, "lot"))
	edit := config.Change{}
	if doc.Workspace("coffee") == nil {
		edit.Workspaces.Put = []config.Workspace{{ID: "coffee"}}
	}
	if doc.Lot("coffee", id) != nil && rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
		edit.Lots.Remove = []string{"coffee/" + id}
		return edit
	}
	budget := rapid.Int64Range(1, 1000).Draw(t, "budget")
	edit.Lots.Put = []config.Lot{{ID: id, Workspace: "coffee", Budget: budget, Expires: expiry}}
	return edit
}

// checkDocument compares a document with the oracle's document of that version.
func (m *fleetModel) checkDocument(t *rapid.T, doc *config.Document, version uint64, source string) {
	if version > m.head() {
		t.Fatalf("%s has version %d, which was never accepted", source, version)
	}
	if !config.Diff(doc, m.accepted[version]).Empty() {
		t.Fatalf("%s has a document of version %d that differs from the accepted one", source, version)
	}
}

func (m *fleetModel) pollTable(t *rapid.T) {
	to := rapid.IntRange(0, storeCount-1).Draw(t, "store")
	_ = m.stores[to].readTable(context.Background(), time.Now())
}

// fetchResponse queues one store's response to another store's query.
func (m *fleetModel) fetchResponse(t *rapid.T) {
	from := rapid.IntRange(0, storeCount-1).Draw(t, "from")
	to := rapid.IntRange(0, storeCount-1).Draw(t, "to")
	after := m.stores[to].Version()
	if rapid.IntRange(0, 4).Draw(t, "from the start") == 0 {
		after = 0
	}
	response, err := m.stores[from].ChangesAfter(after)
	if err != nil {
		t.Fatal(err)
	}
	if count := len(response.Changes); count > 1 && rapid.Bool().Draw(t, "cut short") {
		response.Changes = response.Changes[:count-1]
	}
	m.messages = append(m.messages, message{to: to, response: response})
}

// deliverMessage delivers any queued message, which may stay queued to be
// delivered again.
func (m *fleetModel) deliverMessage(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no queued message")
	}
	index := rapid.IntRange(0, len(m.messages)-1).Draw(t, "letter")
	chosen := m.messages[index]
	if rapid.Bool().Draw(t, "last time") {
		m.messages = append(m.messages[:index], m.messages[index+1:]...)
	}
	err := m.stores[chosen.to].applyResponse(chosen.response)
	var gap *GapError
	if err != nil && !errors.As(err, &gap) {
		t.Fatal(err)
	}
}

func (m *fleetModel) restartStore(t *rapid.T) {
	index := rapid.IntRange(0, storeCount-1).Draw(t, "store")
	m.stores[index] = m.newStore()
	m.highest[index] = 0
}

func (m *fleetModel) setOutage(t *rapid.T) {
	m.table.down = rapid.IntRange(0, 3).Draw(t, "table down") == 0
	m.table.objectsDown = rapid.IntRange(0, 3).Draw(t, "objects down") == 0
}

func (m *fleetModel) check(t *rapid.T) {
	for i, store := range m.stores {
		doc, version := store.Current()
		if version < m.highest[i] {
			t.Fatalf("store %d went back from version %d to %d", i, m.highest[i], version)
		}
		m.highest[i] = version
		if version > 0 {
			m.checkDocument(t, doc, version, fmt.Sprintf("store %d", i))
		}
	}
}

func (m *fleetModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"look": m.loadView, "poll": m.pollTable, "ask": m.fetchResponse, "deliver": m.deliverMessage, "restart": m.restartStore, "": m.check,
		"edit": func(t *rapid.T) {
			if m.table.down || m.table.objectsDown {
				t.Skip("the platform is down")
			}
			m.applyEdit(t)
		},
		"outage": m.setOutage, "arrive": m.deliverDelayed,
	}
}

// recoverAndCheck ends all faults and checks that each store is up to date after
// one read of the table.
func (m *fleetModel) recoverAndCheck(t *rapid.T) {
	m.table.down, m.table.objectsDown = false, false
	for i, store := range m.stores {
		_ = store.readTable(context.Background(), time.Now())
		if store.Version() != m.head() {
			t.Fatalf("store %d has version %d after recovery, the newest is %d", i, store.Version(), m.head())
		}
	}
	m.check(t)
}

// TestProofConfigurationNeverReverts guards against a store that goes back to an
// older version or holds a document that was never accepted, while responses are lost,
// repeated and reordered, stores restart, operators race and the platform is down.
func TestProofConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTimeT{t}, func(t *rapid.T) {
			m := newFleetModel(retentionPolicy{snapshotInterval: 3, keptChanges: 2, maxRowBytes: 180})
			t.Repeat(m.actions())
			m.recoverAndCheck(t)
		})
	})
}

// TestProofNoAcceptedChangeIsLost guards against an accepted change that a racing
// operator or a commit with an unknown outcome overwrites. It replays every
// accepted change at the end.
func TestProofNoAcceptedChangeIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTimeT{t}, func(t *rapid.T) {
			m := newFleetModel(retentionPolicy{snapshotInterval: 8, keptChanges: 1 << 20, maxRowBytes: 1 << 20})
			t.Repeat(map[string]func(*rapid.T){"look": m.loadView, "edit": m.applyEdit, "arrive": m.deliverDelayed})
			m.replayChanges(t)
		})
	})
}

func (m *fleetModel) replayChanges(t *rapid.T) {
	from := reader{table: m.table, objects: fakeObjects{m.table}}
	changes, err := from.readChanges(context.Background(), 0, m.head())
	if err != nil {
		t.Fatal(err)
	}
	doc := emptyDocument()
	for _, change := range changes {
		decoded, err := decodeChange(change.GetJson())
		if err != nil {
			t.Fatal(err)
		}
		if doc, err = config.Apply(doc, decoded); err != nil {
			t.Fatal(err)
		}
		m.checkDocument(t, doc, change.GetVersion(), "the replay")
	}
	last, version, err := Load(context.Background(), m.table, fakeObjects{m.table})
	if err != nil || version != m.head() {
		t.Fatalf("loaded version %d, error %v, the newest is %d", version, err, m.head())
	}
	m.checkDocument(t, last, version, "the platform")
}

var _ storage.Table = (*fakeTable)(nil)
