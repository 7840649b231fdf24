// Package configsync accepts changes to the configuration and distributes them
// to every process. The table holds one row with the newest version and one row
// per change; a conditional transaction on both accepts a change. Each process
// runs a Store, whose version never decreases.
package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"jackdawswitch/config"
)

const (
	// HeadKey is the key of the row that holds a Head.
	HeadKey = "config/head"
	// ChangePrefix is the prefix of the rows that hold a ChangeRow.
	ChangePrefix = "config/change/"
	// SnapshotPrefix is the prefix of the snapshots in the object store.
	SnapshotPrefix = "config/snapshot/"

	maxDocumentBytes = 64 << 20
)

// Head is the row that names the newest version.
type Head struct {
	Version uint64 `json:"version"`
	// Snapshot is the version of the newest snapshot, 0 if there is none.
	Snapshot uint64 `json:"snapshot"`
	// Oldest is the oldest version whose change is kept.
	Oldest uint64 `json:"oldest"`
}

// ChangeRow is the row of one accepted change.
type ChangeRow struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	// Change is the encoded config.Change.
	Change json.RawMessage `json:"change,omitempty"`
	// Object is the object store key of the compressed change, set instead of
	// Change if the change is too large for a row.
	Object string `json:"object,omitempty"`
}

// ChangeKey returns the key of the row of a version's change.
func ChangeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", ChangePrefix, version)
}

// SnapshotKey returns the object store key of the snapshot of a version.
func SnapshotKey(version uint64) string {
	return fmt.Sprintf("%s%020d", SnapshotPrefix, version)
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, &FormatError{Item: "compression", Cause: err}
	}
	if _, err := writer.Write(data); err != nil {
		return nil, &FormatError{Item: "compression", Cause: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &FormatError{Item: "compression", Cause: err}
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &FormatError{Item: "compressed data", Cause: err}
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, &FormatError{Item: "compressed data", Cause: err}
	}
	if len(plain) > maxDocumentBytes {
		return nil, &TooLargeError{Bytes: len(plain), Limit: maxDocumentBytes}
	}
	return plain, nil
}

func encodeDocument(doc *config.Document) ([]byte, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return nil, &FormatError{Item: "document", Cause: err}
	}
	return compress(plain)
}

// decodeDocument decodes a snapshot. It ignores unknown fields, which a newer
// version of the program may have written: the document was checked when it was
// accepted.
func decodeDocument(data []byte) (*config.Document, error) {
	plain, err := decompress(data)
	if err != nil {
		return nil, err
	}
	doc := &config.Document{}
	if err := json.Unmarshal(plain, doc); err != nil {
		return nil, &FormatError{Item: "snapshot", Cause: err}
	}
	doc.Normalize()
	return doc, nil
}

func decodeChange(data []byte) (config.Change, error) {
	var change config.Change
	if err := json.Unmarshal(data, &change); err != nil {
		return change, &FormatError{Item: "change", Cause: err}
	}
	return change, nil
}

func decodeRow(key string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return &FormatError{Item: "row " + key, Cause: err}
	}
	return nil
}
