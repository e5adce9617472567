package contract

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// maxCallDuration is the timeout of a test's context. In virtual time a timeout
// does not slow down the tests.
const maxCallDuration = 20 * time.Second

// pollWait is shorter than the watches of the tests, so that a watch needs many polls.
const pollWait = 100 * time.Millisecond

// platformPorts is the interface of both the stand-in and the client.
type platformPorts interface {
	KV() ports.KV
	VMList() ports.VMList
	Directory() ports.Directory
	WeightStore() ports.WeightStore
}

// forPlatform runs a test against the stand-in and against the client, in
// virtual time.
func forPlatform(t *testing.T, cfg platformsim.Config, test func(t *testing.T, p platformPorts, sim *platformsim.Sim)) {
	t.Run("standin", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sim := platformsim.New(cfg)
			test(t, sim, sim)
		})
	})
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sim := platformsim.New(cfg)
			transport := &http.Transport{DialContext: serveInMemory(t, sim)}
			client := platform.New("http://platform", platform.Options{PollWait: pollWait, Transport: transport})
			t.Cleanup(client.Close)
			test(t, client, sim)
		})
	})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), maxCallDuration)
	t.Cleanup(cancel)
	return ctx
}

func wantKind(t *testing.T, err error, kind errkind.Kind, run domain.Run) {
	t.Helper()
	if !errors.Is(err, errkind.Of(kind)) {
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
	if got := errkind.From(err).Verdict(); got != run {
		t.Errorf("got verdict %q, want %q", got, run)
	}
}

// must returns a function that returns its first argument, or fails the test if the
// error is not nil.
func must[T any](t *testing.T) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func TestKVCompareAndSwap(t *testing.T) {
	forPlatform(t, platformsim.Config{MaxValueBytes: 8}, func(t *testing.T, p platformPorts, _ *platformsim.Sim) {
		ctx, store := testContext(t), p.KV()
		if e := must[ports.KVEntry](t)(store.Get(ctx, "a")); e.Revision != 0 {
			t.Fatalf("a key that does not exist has revision %d, want 0", e.Revision)
		}
		first := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "a", 0, []byte("1"), 0))
		current, err := store.CompareAndSwap(ctx, "a", 0, []byte("2"), 0)
		wantKind(t, err, errkind.Conflict, domain.RunNo)
		if current.Revision != first.Revision || string(current.Value) != "1" {
			t.Errorf("conflict returned %+v, want the current entry %+v", current, first)
		}
		second := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "a", first.Revision, []byte("2"), 0))
		if second.Revision <= first.Revision {
			t.Errorf("revision changed from %d to %d, want an increase", first.Revision, second.Revision)
		}
		_, err = store.CompareAndSwap(ctx, "big", 0, []byte("123456789"), 0)
		wantKind(t, err, errkind.BadRequest, domain.RunNo)
		must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "a/b", 0, nil, 0))
		if list := must[[]ports.KVEntry](t)(store.List(ctx, "a")); len(list) != 2 || list[1].Key != "a/b" {
			t.Errorf("List returned %+v, want a and a/b", list)
		}
	})
}

func TestKVLeaseEnd(t *testing.T) {
	for _, ending := range []string{"expired", "revoked", "kept"} {
		t.Run(ending, func(t *testing.T) {
			forPlatform(t, platformsim.Config{}, func(t *testing.T, p platformPorts, _ *platformsim.Sim) {
				checkLease(t, p.KV(), ending)
			})
		})
	}
}

func checkLease(t *testing.T, store ports.KV, ending string) {
	ctx := testContext(t)
	lease := must[ports.Lease](t)(store.GrantLease(ctx, 10*time.Second))
	held := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "owner", 0, []byte("n"), lease.ID))
	if held.Revision <= lease.Revision || lease.TTL != 10*time.Second {
		t.Errorf("got lease %+v, entry %+v; want a TTL of 10s and an entry with a later revision", lease, held)
	}
	time.Sleep(9 * time.Second)
	if err := store.KeepAlive(ctx, lease.ID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(9 * time.Second)
	switch ending {
	case "expired":
		time.Sleep(time.Second)
	case "revoked":
		if err := store.Revoke(ctx, lease.ID); err != nil {
			t.Fatal(err)
		}
	}
	entry := must[ports.KVEntry](t)(store.Get(ctx, "owner"))
	if ending == "kept" {
		if entry.Revision != held.Revision {
			t.Errorf("the key of a renewed lease changed: got %+v", entry)
		}
		return
	}
	if entry.Revision != 0 {
		t.Errorf("got %+v after the end of the lease, want no entry", entry)
	}
	wantKind(t, store.KeepAlive(ctx, lease.ID), errkind.NotFound, domain.RunNo)
	_, err := store.CompareAndSwap(ctx, "other", 0, nil, lease.ID)
	wantKind(t, err, errkind.NotFound, domain.RunNo)
	next := must[ports.Lease](t)(store.GrantLease(ctx, time.Second))
	if next.Revision <= lease.Revision {
		t.Errorf("fencing number changed from %d to %d, want an increase", lease.Revision, next.Revision)
	}
}

func TestKVWatch(t *testing.T) {
	forPlatform(t, platformsim.Config{}, func(t *testing.T, p platformPorts, sim *platformsim.Sim) {
		ctx, store := testContext(t), p.KV()
		first := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "k", 0, []byte("1"), 0))
		if e := must[ports.KVEntry](t)(store.Watch(ctx, "k", 0)); e.Revision != first.Revision {
			t.Fatalf("watch after an old revision returned %+v, want the current entry", e)
		}
		got := make(chan ports.KVEntry, 1)
		go func() {
			e, _ := store.Watch(ctx, "k", first.Revision)
			got <- e
		}()
		time.Sleep(5 * pollWait)
		synctest.Wait()
		second := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "k", first.Revision, []byte("2"), 0))
		if n := sim.Count(platformsim.CallWatch); n < 2 {
			t.Errorf("got %d watch calls, want at least 2", n)
		}
		if e := <-got; e.Revision != second.Revision {
			t.Fatalf("watch returned %+v, want revision %d", e, second.Revision)
		}
		short, cancel := context.WithTimeout(ctx, 5*pollWait)
		defer cancel()
		_, err := store.Watch(short, "k", second.Revision)
		wantKind(t, err, errkind.Timeout, domain.RunNo)
	})
}

func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		name     string
		fault    platformsim.Fault
		readRun  domain.Run // empty: the read succeeds
		writeRun domain.Run // empty: the write succeeds
		applied  bool
	}{
		{"slow", platformsim.Fault{Mode: platformsim.Slow, Delay: time.Millisecond}, "", "", true},
		{"down", platformsim.Fault{Mode: platformsim.Down}, domain.RunNo, domain.RunNo, false},
		{"lost response", platformsim.Fault{Mode: platformsim.LostResponse}, "", domain.RunUnknown, true},
		{"silent", platformsim.Fault{Mode: platformsim.Unresponsive}, domain.RunNo, domain.RunUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forPlatform(t, platformsim.Config{}, func(t *testing.T, p platformPorts, sim *platformsim.Sim) {
				sim.SetFaults(c.fault)
				_, readErr := p.KV().Get(testContext(t), "k")
				_, writeErr := p.KV().CompareAndSwap(testContext(t), "k", 0, []byte("v"), 0)
				checkFault(t, readErr, c.readRun)
				checkFault(t, writeErr, c.writeRun)
				sim.SetFaults()
				e := must[ports.KVEntry](t)(p.KV().Get(testContext(t), "k"))
				if (e.Revision > 0) != c.applied {
					t.Errorf("write applied: %v, want %v", e.Revision > 0, c.applied)
				}
			})
		})
	}
}

func checkFault(t *testing.T, err error, run domain.Run) {
	t.Helper()
	if run != "" {
		wantKind(t, err, errkind.StoreUnavailable, run)
	} else if err != nil {
		t.Error(err)
	}
}

func TestKVStaleReads(t *testing.T) {
	forPlatform(t, platformsim.Config{}, func(t *testing.T, p platformPorts, sim *platformsim.Sim) {
		ctx, store := testContext(t), p.KV()
		first := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "k", 0, []byte("1"), 0))
		second := must[ports.KVEntry](t)(store.CompareAndSwap(ctx, "k", first.Revision, []byte("2"), 0))
		sim.SetFaults(platformsim.Fault{Mode: platformsim.Stale})
		if e := must[ports.KVEntry](t)(store.Get(ctx, "k")); e.Revision != first.Revision {
			t.Errorf("stale get returned revision %d, want %d", e.Revision, first.Revision)
		}
		if e := must[ports.KVEntry](t)(store.Watch(ctx, "k", first.Revision)); e.Revision != first.Revision {
			t.Errorf("stale watch returned revision %d, want %d", e.Revision, first.Revision)
		}
		sim.SetFaults()
		if e := must[ports.KVEntry](t)(store.Get(ctx, "k")); e.Revision != second.Revision {
			t.Errorf("get after the end of the fault returned revision %d, want %d", e.Revision, second.Revision)
		}
	})
}

// TestSilentPlatformTimesOut makes calls whose context ends much later than the
// client's own call timeout.
func TestSilentPlatformTimesOut(t *testing.T) {
	cases := []struct {
		name string
		call func(ctx context.Context, store ports.KV) error
		want time.Duration
	}{
		{"get", func(ctx context.Context, store ports.KV) error {
			_, err := store.Get(ctx, "k")
			return err
		}, time.Second},
		{"watch", func(ctx context.Context, store ports.KV) error {
			_, err := store.Watch(ctx, "k", 0)
			return err
		}, time.Second + pollWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				neverResponds := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
				})
				o := platform.Options{CallTimeout: time.Second, PollWait: pollWait}
				o.Transport = &http.Transport{DialContext: serveInMemory(t, neverResponds)}
				client := platform.New("http://platform", o)
				t.Cleanup(client.Close)
				start := time.Now()
				err := c.call(testContext(t), client.KV())
				wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
				if elapsed := time.Since(start); elapsed != c.want {
					t.Errorf("the call returned after %v, want %v", elapsed, c.want)
				}
			})
		})
	}
}

// TestStalePlatformConnection closes the pooled connection on the second call. A read
// is retried on a new connection; a write fails with run unknown.
func TestStalePlatformConnection(t *testing.T) {
	sim := platformsim.New(platformsim.Config{})
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1)%3 == 2 {
			panic(http.ErrAbortHandler)
		}
		sim.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	client := platform.New(server.URL, platform.Options{})
	t.Cleanup(client.Close)
	ctx := testContext(t)
	must[ports.KVEntry](t)(client.KV().Get(ctx, "k"))
	must[ports.KVEntry](t)(client.KV().Get(ctx, "k"))
	must[ports.KVEntry](t)(client.KV().Get(ctx, "k"))
	_, err := client.KV().CompareAndSwap(ctx, "k", 0, nil, 0)
	wantKind(t, err, errkind.StoreUnavailable, domain.RunUnknown)
	if n := sim.Count(platformsim.CallCompareAndSwap); n != 0 {
		t.Errorf("got %d writes, want 0", n)
	}
}

// TestUnreachablePlatform dials a port without a listener. Even a write cannot have
// taken effect then, so its verdict is no.
func TestUnreachablePlatform(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	client := platform.New(server.URL, platform.Options{})
	_, err := client.KV().CompareAndSwap(testContext(t), "k", 0, nil, 0)
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
}

func TestVMListLag(t *testing.T) {
	vm := func(id string, fd domain.FailureDomain) ports.VM {
		return ports.VM{ID: id, Role: ports.RoleEngine, Place: domain.Place{Region: "r", FailureDomain: fd}, Address: "127.0.0.1:1"}
	}
	cfg := platformsim.Config{VMLag: 5 * time.Second, VMs: []ports.VM{vm("a", "r-a"), vm("b", "r-b")}}
	forPlatform(t, cfg, func(t *testing.T, p platformPorts, sim *platformsim.Sim) {
		ctx := testContext(t)
		count := func(fd domain.FailureDomain) int { return len(must[[]ports.VM](t)(p.VMList().VMs(ctx, fd))) }
		leaving := vm("a", "r-a")
		leaving.Leaving = true
		sim.UpdateVM(leaving)
		sim.RemoveVM("b")
		if count("") != 2 || count("r-a") != 1 || count("none") != 0 {
			t.Errorf("before the lag got %d, %d and %d rows, want 2, 1 and 0", count(""), count("r-a"), count("none"))
		}
		time.Sleep(5 * time.Second)
		rows := must[[]ports.VM](t)(p.VMList().VMs(ctx, ""))
		if len(rows) != 1 || rows[0] != leaving {
			t.Errorf("after the lag got %+v, want only the leaving VM", rows)
		}
	})
}

func TestDirectoryExpiry(t *testing.T) {
	forPlatform(t, platformsim.Config{}, func(t *testing.T, p platformPorts, _ *platformsim.Sim) {
		ctx, dir := testContext(t), p.Directory()
		for _, node := range []domain.NodeID{"n1", "n2", "n1"} {
			if err := dir.Announce(ctx, ports.DirectoryRecord{Node: node, Address: "127.0.0.1:1"}, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if err := dir.Withdraw(ctx, "n2"); err != nil {
			t.Fatal(err)
		}
		if r := must[[]ports.DirectoryRecord](t)(dir.Lookup(ctx)); len(r) != 1 || r[0].Node != "n1" {
			t.Errorf("got records %+v, want only n1", r)
		}
		time.Sleep(time.Second)
		if r := must[[]ports.DirectoryRecord](t)(dir.Lookup(ctx)); len(r) != 0 {
			t.Errorf("got records %+v after their expiry, want none", r)
		}
	})
}

func TestWeightStoreRate(t *testing.T) {
	forPlatform(t, platformsim.Config{ReservationsPerSecond: 2}, func(t *testing.T, p platformPorts, _ *platformsim.Sim) {
		ctx := testContext(t)
		for i, want := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
			if got := must[time.Duration](t)(p.WeightStore().Reserve(ctx, "m")); got != want {
				t.Errorf("reservation %d has wait %v, want %v", i, got, want)
			}
		}
		time.Sleep(5 * time.Second)
		if got := must[time.Duration](t)(p.WeightStore().Reserve(ctx, "m")); got != 0 {
			t.Errorf("after a pause got wait %v, want 0", got)
		}
	})
}
