package home

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

// crashTracker holds the crash records of the fleet: the crashes reported to this
// home, merged with the records in the table.
type crashTracker struct {
	table storage.Table
	// idPrefix is the prefix of this process's transaction IDs.
	idPrefix string

	mu      sync.Mutex
	records map[string]*claim.CrashRecord
	// dirty holds the rows whose record has crashes that the table may not have.
	dirty  map[string]bool
	serial uint64
	// lastVersion is the highest row version received from the table.
	lastVersion uint64
}

func newCrashTracker(table storage.Table, idPrefix string) *crashTracker {
	return &crashTracker{
		table:    table,
		idPrefix: idPrefix,
		records:  make(map[string]*claim.CrashRecord),
		dirty:    make(map[string]bool),
	}
}

// add records a crash and returns the quarantine decision on the request.
func (t *crashTracker) add(rowKey, key string, crash claim.Crash, policy claim.CrashPolicy) claim.QuarantineDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[rowKey]
	if record == nil {
		record = &claim.CrashRecord{}
		t.records[rowKey] = record
	}
	if record.Add(crash, key) {
		t.dirty[rowKey] = true
	}
	return record.Evaluate(crash.CrashedAt, policy)
}

func (t *crashTracker) quarantineDecision(rowKey string, now time.Time, policy claim.CrashPolicy) claim.QuarantineDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[rowKey]
	if record == nil {
		return claim.QuarantineDecision{}
	}
	return record.Evaluate(now, policy)
}

// watch merges changed crash records from the table until ctx ends.
func (t *crashTracker) watch(ctx context.Context, logger *slog.Logger) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, crashWatchTimeout)
		rows, err := t.table.Watch(call, claim.CrashPrefix, t.version())
		cancel()
		if err != nil {
			logger.Debug("cannot read changed crash records; will retry", "err", err)
			sleep(ctx, crashWatchInterval)
			continue
		}
		t.addRows(rows)
		sleep(ctx, crashWatchInterval)
	}
}

const (
	// crashWatchTimeout limits one wait for changed crash records.
	crashWatchTimeout = 30 * time.Second
	// crashWatchInterval is the pause between two waits.
	crashWatchInterval = 250 * time.Millisecond
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (t *crashTracker) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastVersion
}

func (t *crashTracker) addRows(rows []storage.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		t.lastVersion = max(t.lastVersion, row.Version)
		t.mergeLocked(row)
	}
}

func (t *crashTracker) mergeLocked(row storage.Row) {
	var other claim.CrashRecord
	if json.Unmarshal(row.Value, &other) != nil {
		return
	}
	record := t.records[row.Key]
	if record == nil {
		t.records[row.Key] = &other
		return
	}
	record.Merge(other)
}

// flush writes the dirty records, one transaction each: the row is read, merged
// and written on the condition that it has not changed.
func (t *crashTracker) flush(ctx context.Context) error {
	for _, rowKey := range t.pending() {
		if err := t.write(ctx, rowKey); err != nil {
			return err
		}
	}
	return nil
}

func (t *crashTracker) pending() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.dirty))
	for rowKey := range t.dirty {
		out = append(out, rowKey)
	}
	return out
}

func (t *crashTracker) write(ctx context.Context, rowKey string) error {
	rows, err := t.table.Get(ctx, rowKey)
	if err != nil {
		return err
	}
	t.mu.Lock()
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
		t.mergeLocked(rows[0])
	}
	value := mustEncodeJSON(t.records[rowKey])
	t.serial++
	id := fmt.Sprintf("%s.crash.%d", t.idPrefix, t.serial)
	delete(t.dirty, rowKey)
	t.mu.Unlock()
	_, err = t.table.Commit(ctx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: rowKey, Version: version}},
		Puts:       []storage.Put{{Key: rowKey, Value: value}},
	})
	if err != nil {
		t.mu.Lock()
		t.dirty[rowKey] = true
		t.mu.Unlock()
	}
	return err
}

// expire deletes the records in which no crash counts any longer. It removes
// their rows from the table if ownsWorkspace accepts the workspace.
func (t *crashTracker) expire(ctx context.Context, now time.Time, policy claim.CrashPolicy, ownsWorkspace func(workspace string) bool) {
	t.mu.Lock()
	var old []string
	for rowKey, record := range t.records {
		if !t.dirty[rowKey] && record.Expired(now, policy) {
			old = append(old, rowKey)
			delete(t.records, rowKey)
		}
	}
	t.mu.Unlock()
	for _, rowKey := range old {
		if !ownsWorkspace(workspaceOf(rowKey)) {
			continue
		}
		removeRow(ctx, t.table, rowKey, func(value []byte) bool {
			var record claim.CrashRecord
			return json.Unmarshal(value, &record) != nil || record.Expired(now, policy)
		})
	}
}

func (s *Server) crashPolicy() claim.CrashPolicy {
	doc, _ := s.opts.Config()
	if doc == nil {
		return claim.CrashPolicy{}
	}
	rules := doc.Rules.Requests
	return claim.CrashPolicy{Limit: rules.CrashLimit, Window: config.Seconds(rules.QuarantineSeconds)}
}

func (s *Server) quarantineDecision(workspace string, body claim.BodyHash) claim.QuarantineDecision {
	return s.crashes.quarantineDecision(claim.CrashKey(workspace, body), time.Now(), s.crashPolicy())
}

// recordCrash records the crash if an endpoint crash ended the attempt, and
// returns the quarantine decision on the request.
func (s *Server) recordCrash(key claim.Key, msg *pb.FinishRequest) claim.QuarantineDecision {
	body := claim.NewBodyHash(msg.GetBodyHash())
	isolated := false
	s.mu.Lock()
	if view, ok := s.keyTable.Lookup(key); ok {
		body = view.Body
		isolated = view.Isolate
	}
	s.mu.Unlock()
	if !msg.GetCrashed() {
		return s.quarantineDecision(key.Workspace, body)
	}
	crash := claim.Crash{
		Attempt:         msg.GetAttempt(),
		Endpoint:        msg.GetEndpoint(),
		CrashedAt:       time.Now().UTC(),
		RunningRequests: int(msg.GetRunning()),
		Isolated:        isolated,
	}
	s.opts.Metrics.Counter("home_crashes").Inc(1)
	rowKey := claim.CrashKey(key.Workspace, body)
	decision := s.crashes.add(rowKey, key.Name, crash, s.crashPolicy())
	if decision.Quarantined() {
		s.opts.Logger.Warn("request quarantined", "record", rowKey, "crashes", decision.CrashCount, "until", decision.Until)
	}
	return decision
}

func quarantinedRefusal(decision claim.QuarantineDecision, state pb.RunState) *refusal.Error {
	out := refusal.NotRun(refusal.CauseQuarantined, "the request crashed %d endpoints", decision.CrashCount).
		WithRetryAfter(time.Until(decision.Until))
	out.RunState = state
	out.Billed = state != pb.RunState_RUN_STATE_NOT_RUN
	return out
}

// workspaceOf returns the workspace in a crash record's row key.
func workspaceOf(rowKey string) string {
	name := strings.TrimPrefix(rowKey, claim.CrashPrefix)
	return name[:strings.LastIndexByte(name, '/')]
}

// bodyOf returns the hex body hash in a crash record's row key.
func bodyOf(rowKey string) string {
	return rowKey[strings.LastIndexByte(rowKey, '/')+1:]
}
