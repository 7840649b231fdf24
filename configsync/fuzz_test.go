package configsync

import (
	"encoding/json"
	"testing"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
)

// FuzzApplyUpdate checks that a replica keeps its invariants and can still serve other
// processes after any response of a peer, however malformed.
func FuzzApplyUpdate(f *testing.F) {
	snapshot, err := encodeDocument(sampleDocument(2, 100))
	if err != nil {
		f.Fatal(err)
	}
	change, err := json.Marshal(config.Diff(sampleDocument(2, 100), sampleDocument(3, 50)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(1), snapshot, uint64(2), change)
	f.Add(uint64(0), []byte(nil), uint64(1), change)
	f.Add(uint64(5), snapshot[:len(snapshot)/2], uint64(9), []byte(`{`))
	f.Add(uint64(1), snapshot, uint64(2), []byte(`{"lots":{"remove":["no/such"]}}`))
	f.Add(uint64(1), snapshot, uint64(2), []byte(`null`))
	f.Add(uint64(1<<64-1), snapshot, uint64(0), change)
	f.Fuzz(func(t *testing.T, snapshotVersion uint64, compressed []byte, version uint64, encoded []byte) {
		r := &replica{}
		changes := []*pb.ConfigChange{{Version: version, Json: encoded}, nil, {Version: version + 1, Json: encoded}}
		_, err := r.applyUpdate(&pb.ConfigSnapshot{Version: snapshotVersion, Gzip: compressed}, changes)
		if r.version > 0 && r.doc == nil {
			t.Fatalf("version %d without a document after %v", r.version, err)
		}
		for _, after := range []uint64{0, r.version, r.version - 1} {
			if _, _, err := r.updateAfter(after); err != nil {
				t.Fatalf("update after version %d: %v", after, err)
			}
		}
	})
}

// FuzzRows checks that reading malformed rows either fails or ends at the version
// of the head.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"version":3,"snapshot":2,"oldest":1}`), []byte(`{"version":3,"base":2,"change":{}}`))
	f.Add([]byte(`{"version":-1}`), []byte(`{"version":3,"object":"gone"}`))
	f.Add([]byte(`[]`), []byte(`{"version":4,"change":7}`))
	f.Fuzz(func(t *testing.T, head, change []byte) {
		table := newFakeTable()
		txn := rowsTransaction(map[string][]byte{HeadKey: head, ChangeKey(3): change})
		if _, err := table.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
		from := reader{table: table, objects: fakeObjects{table}}
		got, err := from.readHead(t.Context())
		if err != nil || got.Version > 1000 {
			return
		}
		r := &replica{doc: emptyDocument()}
		if err := from.catchUp(t.Context(), r, got.Head); err == nil && r.version != got.Version {
			t.Fatalf("read up to version %d without an error, want the head version %d", r.version, got.Version)
		}
	})
}
