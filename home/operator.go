package home

import (
	"context"
	"encoding/json"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/storage"
)

const operatorPageSize = 500

// ResolveError reports why an unknown outcome was not resolved.
type ResolveError struct {
	Key    claim.Key
	Reason string
}

// Error implements error.
func (e *ResolveError) Error() string {
	return "home: resolve " + e.Key.Workspace + "/" + e.Key.Name + ": " + e.Reason
}

// ResolveUnknown records whether a request that is not repeatable and whose
// outcome is unknown has run, as found out by an operator. A request that did not
// run may be sent again with the same key. Id is the transaction ID. A claim that
// is missing or has a known outcome is reported as *ResolveError. ResolveUnknown
// may be repeated when its response is lost, as the write is conditional; it
// returns *ResolveError if the first call took effect.
func ResolveUnknown(ctx context.Context, table storage.Table, key claim.Key, ran bool, operator, id string) error {
	rowKey := claim.RowKey(key)
	rows, err := table.Get(ctx, rowKey)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return &ResolveError{Key: key, Reason: "the key has no claim"}
	}
	row, err := claim.DecodeRow(rowKey, rows[0].Value)
	if err != nil {
		return err
	}
	if row.State != claim.RowUnknown {
		return &ResolveError{Key: key, Reason: "the outcome is not unknown: the claim's state is " + string(row.State)}
	}
	row.Fence = row.FencingNumber(rows[0].Version)
	row.ResolvedBy = operator
	row.State = claim.RowReleased
	row.RunState = pb.RunState_RUN_STATE_NOT_RUN
	if ran {
		row.State = claim.RowFinished
		row.RunState = pb.RunState_RUN_STATE_COMPLETED
	}
	_, err = table.Commit(ctx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: rowKey, Version: rows[0].Version}},
		Puts:       []storage.Put{{Key: rowKey, Value: row.Encode()}},
		Deletes:    []string{claim.UnknownOutcomeKey(key)},
	})
	return err
}

// ListUnknownOutcomes returns up to limit unknown outcomes. With an empty
// workspace it lists those of all workspaces.
func ListUnknownOutcomes(ctx context.Context, table storage.Table, workspace string, limit int) ([]claim.UnknownOutcome, error) {
	prefix := claim.UnknownOutcomePrefix
	if workspace != "" {
		prefix += workspace + "/"
	}
	rows, err := table.List(ctx, prefix, "", limit)
	if err != nil {
		return nil, err
	}
	out := make([]claim.UnknownOutcome, 0, len(rows))
	for _, row := range rows {
		var item claim.UnknownOutcome
		if err := json.Unmarshal(row.Value, &item); err != nil {
			return nil, &claim.RowError{Key: row.Key, Cause: err}
		}
		out = append(out, item)
	}
	return out, nil
}

// ListedCrashRecord is one crash record as operators see it.
type ListedCrashRecord struct {
	Workspace string `json:"workspace"`
	// Body is the hash of the request body in hex.
	Body   string            `json:"body"`
	Record claim.CrashRecord `json:"record"`
	// Until is the end of the quarantine, zero if the request is not quarantined.
	Until time.Time `json:"until,omitzero"`
}

// ListCrashRecords returns the crash records with at least one crash that counts
// at now.
func ListCrashRecords(ctx context.Context, table storage.Table, now time.Time, policy claim.CrashPolicy) ([]ListedCrashRecord, error) {
	var out []ListedCrashRecord
	after := ""
	for {
		rows, err := table.List(ctx, claim.CrashPrefix, after, operatorPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			var record claim.CrashRecord
			if err := json.Unmarshal(row.Value, &record); err != nil {
				return nil, &claim.RowError{Key: row.Key, Cause: err}
			}
			decision := record.Evaluate(now, policy)
			if decision.CrashCount == 0 {
				continue
			}
			out = append(out, ListedCrashRecord{
				Workspace: workspaceOf(row.Key),
				Body:      bodyOf(row.Key),
				Record:    record,
				Until:     decision.Until,
			})
		}
		if len(rows) < operatorPageSize {
			return out, nil
		}
	}
}

// ReleaseQuarantine lets a request run again: its crashes up to now no longer
// count. Body is the hash of the request body in hex, id the transaction ID.
// Without a crash record it returns a *storage.Error of KindNotFound.
func ReleaseQuarantine(ctx context.Context, table storage.Table, now time.Time, workspace, body, id string) error {
	rowKey := claim.CrashPrefix + workspace + "/" + body
	rows, err := table.Get(ctx, rowKey)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return &storage.Error{Op: "quarantine.release", Kind: storage.KindNotFound, Outcome: storage.OutcomeAborted, Key: rowKey}
	}
	var record claim.CrashRecord
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		return &claim.RowError{Key: rowKey, Cause: err}
	}
	record.ReleasedAt = now
	_, err = table.Commit(ctx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: rowKey, Version: rows[0].Version}},
		Puts:       []storage.Put{{Key: rowKey, Value: mustEncodeJSON(record)}},
	})
	return err
}
