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

// serve serves a stand-in over memory and returns the transport to it.
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

func put(id, key string, version uint64) storage.Transaction {
	return storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: []byte(id)}},
	}
}

func TestProofLostAnswerIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, memnet.New(), table)})
		table.SetFaults(standin.Faults{LoseAnswers: 1})
		first, err := client.Commit(t.Context(), put("t1", "a", 0))
		if err != nil || first.Version != 1 {
			t.Fatalf("lost answer: %v, %v", first, err)
		}
		table.SetFaults(standin.Faults{LoseWrites: 1})
		second, err := client.Commit(t.Context(), put("t2", "a", first.Version))
		if err != nil || second.Version != 2 {
			t.Fatalf("lost write: %v, %v", second, err)
		}
		if stats := table.Stats(); stats.Commits != 2 {
			t.Errorf("%d commits, want 2", stats.Commits)
		}
		_, err = client.Commit(t.Context(), put("t3", "a", first.Version))
		if !storage.IsKind(err, storage.KindConflict) || storage.OutcomeOf(err) != storage.OutcomeNotDone {
			t.Errorf("conflict: %v", err)
		}
	})
}

func TestInsertIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, memnet.New(), table)})
		for _, conditions := range [][]storage.Condition{nil, {{Key: "a"}}} {
			txn := storage.Transaction{ID: "t1", Conditions: conditions, Puts: []storage.Put{{Key: "a"}}}
			table.SetFaults(standin.Faults{LoseWrites: 1})
			_, err := client.Commit(t.Context(), txn)
			if storage.OutcomeOf(err) != storage.OutcomeUnknown || table.Stats().Commits != 0 {
				t.Errorf("lost write: %v after %d commits", err, table.Stats().Commits)
			}
		}
		table.SetFaults(standin.Faults{LoseAnswers: 1})
		_, err := client.Commit(t.Context(), put("t2", "a", 0))
		if err != nil || table.Stats().Commits != 1 {
			t.Errorf("lost answer: %v after %d commits", err, table.Stats().Commits)
		}
	})
}

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		table := standin.NewTable()
		client := tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, network, table)})
		table.SetFaults(standin.Faults{DelayMS: 60_000})
		begun := time.Now()
		_, err := client.Commit(t.Context(), put("t1", "a", 0))
		if storage.OutcomeOf(err) != storage.OutcomeUnknown || !storage.IsKind(err, storage.KindTimeout) {
			t.Errorf("slow: %v", err)
		}
		if took := time.Since(begun); took > 30*time.Second {
			t.Errorf("a slow table held the caller for %v", took)
		}
		table.SetFaults(standin.Faults{})
		network.Cut("client", host)
		_, err = client.Commit(t.Context(), put("t2", "b", 0))
		if storage.OutcomeOf(err) != storage.OutcomeNotDone {
			t.Errorf("cut off: %v, want not done", err)
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
			t.Errorf("got %v, %v", rows, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		rows, err = client.Watch(ctx, "config/", 1)
		if err != nil || len(rows) != 0 {
			t.Errorf("nothing new: got %v, %v", rows, err)
		}
	})
}

func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjectStore()
		client := objecthttp.New("http://"+host, objecthttp.Options{Transport: serve(t, memnet.New(), store)})
		store.SetFaults(standin.Faults{LoseAnswers: 1})
		if err := client.PutIfAbsent(t.Context(), "batch/a b", []byte("one")); err != nil {
			t.Errorf("lost answer: %v", err)
		}
		if err := client.PutIfAbsent(t.Context(), "batch/a b", []byte("two")); !storage.IsKind(err, storage.KindConflict) {
			t.Errorf("taken key: %v", err)
		}
		data, err := client.Get(t.Context(), "batch/a b")
		keys, lerr := client.List(t.Context(), "batch/", "", 10)
		if string(data) != "one" || err != nil || lerr != nil || len(keys) != 1 || keys[0] != "batch/a b" {
			t.Errorf("got %q, %v; %v, %v", data, err, keys, lerr)
		}
		if _, err := client.Get(t.Context(), "none"); !storage.IsKind(err, storage.KindNotFound) {
			t.Errorf("missing object: %v", err)
		}
	})
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := standin.NewVMList()
		client := vmlisthttp.New("http://"+host, vmlisthttp.Options{Transport: serve(t, memnet.New(), list)})
		list.Set("vm-1", vmlist.Live)
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
			t.Error("the list does not lag")
		}
		time.Sleep(5 * time.Second)
		list.Remove("vm-1")
		if count() != 1 {
			t.Error("the list lags for too long, or not at all")
		}
	})
}
