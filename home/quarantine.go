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

// crashBook holds the crash records of the fleet: those this home made, and
// those it reads from the table.
type crashBook struct {
	table  storage.Table
	prefix string

	mu      sync.Mutex
	records map[string]*claim.CrashRecord
	// dirty holds the rows whose record knows more than the table.
	dirty  map[string]bool
	serial uint64
	seen   uint64
}

func newCrashBook(table storage.Table, prefix string) *crashBook {
	return &crashBook{
		table:   table,
		prefix:  prefix,
		records: make(map[string]*claim.CrashRecord),
		dirty:   make(map[string]bool),
	}
}

// add records a crash and returns how the request is treated now.
func (b *crashBook) add(rowKey, key string, crash claim.Crash, policy claim.CrashPolicy) claim.QuarantineDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := b.records[rowKey]
	if record == nil {
		record = &claim.CrashRecord{}
		b.records[rowKey] = record
	}
	if record.Add(crash, key) {
		b.dirty[rowKey] = true
	}
	return record.Evaluate(crash.CrashedAt, policy)
}

func (b *crashBook) judge(rowKey string, now time.Time, policy claim.CrashPolicy) claim.QuarantineDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := b.records[rowKey]
	if record == nil {
		return claim.QuarantineDecision{}
	}
	return record.Evaluate(now, policy)
}

// watch follows the table's crash records until ctx ends.
func (b *crashBook) watch(ctx context.Context, logger *slog.Logger) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, crashWatch)
		rows, err := b.table.Watch(call, claim.CrashPrefix, b.version())
		cancel()
		if err != nil {
			logger.Debug("crash records not read", "err", err)
			pause(ctx, crashPause)
			continue
		}
		b.learn(rows)
		pause(ctx, crashPause)
	}
}

// crashWatch bounds one wait for changed crash records, and crashPause spaces
// the waits out.
const (
	crashWatch = 30 * time.Second
	crashPause = 250 * time.Millisecond
)

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (b *crashBook) version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

func (b *crashBook) learn(rows []storage.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range rows {
		b.seen = max(b.seen, row.Version)
		b.mergeLocked(row)
	}
}

func (b *crashBook) mergeLocked(row storage.Row) {
	var other claim.CrashRecord
	if json.Unmarshal(row.Value, &other) != nil {
		return
	}
	record := b.records[row.Key]
	if record == nil {
		b.records[row.Key] = &other
		return
	}
	record.Merge(other)
}

// flush writes the records that know more than the table, each by itself: the
// row is read, merged and written on the condition that it did not change.
func (b *crashBook) flush(ctx context.Context) error {
	for _, rowKey := range b.pending() {
		if err := b.write(ctx, rowKey); err != nil {
			return err
		}
	}
	return nil
}

func (b *crashBook) pending() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.dirty))
	for rowKey := range b.dirty {
		out = append(out, rowKey)
	}
	return out
}

func (b *crashBook) write(ctx context.Context, rowKey string) error {
	rows, err := b.table.Get(ctx, rowKey)
	if err != nil {
		return err
	}
	b.mu.Lock()
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
		b.mergeLocked(rows[0])
	}
	value := encode(b.records[rowKey])
	b.serial++
	id := fmt.Sprintf("%s.crash.%d", b.prefix, b.serial)
	delete(b.dirty, rowKey)
	b.mu.Unlock()
	_, err = b.table.Commit(ctx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: rowKey, Version: version}},
		Puts:       []storage.Put{{Key: rowKey, Value: value}},
	})
	if err != nil {
		b.mu.Lock()
		b.dirty[rowKey] = true
		b.mu.Unlock()
	}
	return err
}

// expire forgets the records in which nothing counts any longer, and removes
// the rows of the workspaces that mine selects.
func (b *crashBook) expire(ctx context.Context, now time.Time, policy claim.CrashPolicy, mine func(workspace string) bool) {
	b.mu.Lock()
	var old []string
	for rowKey, record := range b.records {
		if !b.dirty[rowKey] && record.Expired(now, policy) {
			old = append(old, rowKey)
			delete(b.records, rowKey)
		}
	}
	b.mu.Unlock()
	for _, rowKey := range old {
		if !mine(workspaceOf(rowKey)) {
			continue
		}
		removeRow(ctx, b.table, rowKey, func(value []byte) bool {
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

func (s *Server) judge(workspace string, body claim.BodyHash) claim.QuarantineDecision {
	return s.crash.judge(claim.CrashKey(workspace, body), time.Now(), s.crashPolicy())
}

// judgeEnd records the crash that ended an attempt, if one did, and returns how
// the request is treated from now on.
func (s *Server) judgeEnd(key claim.Key, msg *pb.FinishRequest) claim.QuarantineDecision {
	body := claim.NewBodyHash(msg.GetBodyHash())
	isolated := false
	s.mu.Lock()
	if view, ok := s.table.Lookup(key); ok {
		body = view.Body
		isolated = view.Isolate
	}
	s.mu.Unlock()
	if !msg.GetCrashed() {
		return s.judge(key.Workspace, body)
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
	judgement := s.crash.add(rowKey, key.Name, crash, s.crashPolicy())
	if judgement.Quarantined() {
		s.opts.Logger.Warn("request quarantined", "record", rowKey, "crashes", judgement.CrashCount, "until", judgement.Until)
	}
	return judgement
}

func quarantined(judgement claim.QuarantineDecision, state pb.RunState) *refusal.Error {
	out := refusal.NotRun(refusal.CauseQuarantined, "the request crashed %d endpoints", judgement.CrashCount).
		WithRetryAfter(time.Until(judgement.Until))
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
