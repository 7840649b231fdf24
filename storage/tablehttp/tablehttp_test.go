package tablehttp_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
	"jackdawswitch/storage/objecthttp"
	"jackdawswitch/storage/tablehttp"
	"jackdawswitch/vmlist"
	"jackdawswitch/vmlist/vmlisthttp"
)

const host = "platform"

// serve serves handler on the in-memory network and returns a transport to it.
func serve(t *testing.T, network *memnet.Network, handler http.Handler) *http.Transport {
	t.Helper()
	listener, err := network.Host(host).Listen(host)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return network.Host("client").Dial(ctx, host)
		},
	}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return transport
}

// put returns a transaction that writes one row if it has the given version.
func put(id, key string, version uint64) storage.Transaction {
	return storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: []byte(id)}},
	}
}

// A request can be lost before its write takes effect, or its response afterwards.
// The client must report the actual outcome in both cases, without committing
// twice.
func TestProofLostAnswerIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, memnet.New(), table)})
		table.SetFaults(standin.Faults{LoseResponses: 1})
		first, err := client.Commit(t.Context(), put("t1", "a", 0))
		if err != nil || first.Version != 1 {
			t.Fatalf("commit with a lost response: got %v, %v; want version 1", first, err)
		}
		table.SetFaults(standin.Faults{LoseWrites: 1})
		second, err := client.Commit(t.Context(), put("t2", "a", first.Version))
		if err != nil || second.Version != 2 {
			t.Fatalf("commit with a lost request: got %v, %v; want version 2", second, err)
		}
		if stats := table.Stats(); stats.Commits != 2 {
			t.Errorf("%d commits, want 2", stats.Commits)
		}
		_, err = client.Commit(t.Context(), put("t3", "a", first.Version))
		if !storage.IsKind(err, storage.KindConflict) || storage.OutcomeOf(err) != storage.OutcomeAborted {
			t.Errorf("commit on an old version: got %v, want a conflict with an aborted outcome", err)
		}
	})
}

// A transaction without a condition on an existing row could take effect twice
// if it were retried, so an unknown outcome must be returned instead.
func TestInsertIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, memnet.New(), table)})
		for _, conditions := range [][]storage.Condition{nil, {{Key: "a"}}} {
			txn := storage.Transaction{ID: "t1", Conditions: conditions, Puts: []storage.Put{{Key: "a"}}}
			table.SetFaults(standin.Faults{LoseWrites: 1})
			_, err := client.Commit(t.Context(), txn)
			if storage.OutcomeOf(err) != storage.OutcomeUnknown || table.Stats().Commits != 0 {
				t.Errorf("lost request: got %v after %d commits, want an unknown outcome and no commit", err, table.Stats().Commits)
			}
		}
		table.SetFaults(standin.Faults{LoseResponses: 1})
		_, err := client.Commit(t.Context(), put("t2", "a", 0))
		if err != nil || table.Stats().Commits != 1 {
			t.Errorf("lost response: got %v after %d commits, want success after 1", err, table.Stats().Commits)
		}
	})
}

// A slow table must fail the call with a timeout and an unknown outcome, and an
// unreachable one with an aborted outcome, as nothing was sent.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, network, table)})
		table.SetFaults(standin.Faults{DelayMS: 60_000})
		start := time.Now()
		_, err := client.Commit(t.Context(), put("t1", "a", 0))
		if storage.OutcomeOf(err) != storage.OutcomeUnknown || !storage.IsKind(err, storage.KindTimeout) {
			t.Errorf("slow table: got %v, want a timeout with an unknown outcome", err)
		}
		if elapsed := time.Since(start); elapsed > 30*time.Second {
			t.Errorf("commit on a slow table took %v, want at most 30s", elapsed)
		}
		table.SetFaults(standin.Faults{})
		network.Block("client", host)
		_, err = client.Commit(t.Context(), put("t2", "b", 0))
		if storage.OutcomeOf(err) != storage.OutcomeAborted {
			t.Errorf("unreachable table: got %v, want an aborted outcome", err)
		}
	})
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, memnet.New(), table)})
		go func() {
			time.Sleep(time.Minute)
			_, _ = table.Commit(t.Context(), put("t1", "config/1", 0))
		}()
		rows, err := client.Watch(t.Context(), "config/", 0)
		if err != nil || len(rows) != 1 || rows[0].Writer != "t1" {
			t.Errorf("got rows %v, %v; want the row written by t1", rows, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		rows, err = client.Watch(ctx, "config/", 1)
		if err != nil || len(rows) != 0 {
			t.Errorf("without a change: got rows %v, %v; want none", rows, err)
		}
	})
}

func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjectStore()
		client := objecthttp.New("http://"+host, objecthttp.Options{Transport: serve(t, memnet.New(), store)})
		store.SetFaults(standin.Faults{LoseResponses: 1})
		if err := client.PutIfAbsent(t.Context(), "batch/a b", []byte("one")); err != nil {
			t.Errorf("put with a lost response: %v", err)
		}
		if err := client.PutIfAbsent(t.Context(), "batch/a b", []byte("two")); !storage.IsKind(err, storage.KindConflict) {
			t.Errorf("put on an existing key: got %v, want a conflict", err)
		}
		data, err := client.Get(t.Context(), "batch/a b")
		keys, listErr := client.List(t.Context(), "batch/", "", 10)
		if string(data) != "one" || err != nil || listErr != nil || len(keys) != 1 || keys[0] != "batch/a b" {
			t.Errorf("got object %q, %v and keys %v, %v; want object one and key batch/a b", data, err, keys, listErr)
		}
		if _, err := client.Get(t.Context(), "none"); !storage.IsKind(err, storage.KindNotFound) {
			t.Errorf("get of a missing object: got %v, want not found", err)
		}
	})
}

// The VM list of the stand-in must show the state of LagMS ago: a new VM appears
// late, and so does a removal.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := standin.NewVMList()
		client := vmlisthttp.New("http://"+host, vmlisthttp.Options{Transport: serve(t, memnet.New(), list)})
		list.Set("vm-1", vmlist.StateLive)
		list.SetFaults(standin.Faults{LagMS: 5000})
		count := func() int {
			t.Helper()
			snapshot, err := client.VMs(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return len(snapshot.VMs)
		}
		if count() != 0 {
			t.Error("the list shows a VM before the configured lag has passed")
		}
		time.Sleep(5 * time.Second)
		list.Remove("vm-1")
		if count() != 1 {
			t.Error("the list does not show its state of 5 s ago")
		}
	})
}
