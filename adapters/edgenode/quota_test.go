package edgenode

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/boottime"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// TestNodesChargeQuotasTogether: all nodes get tokens from the one authority, an account that
// exceeds its quota is denied with a delay, and the quota is that of all nodes together.
func TestNodesChargeQuotasTogether(t *testing.T) {
	t.Parallel()
	f := newQuotaFleet(t, tokenAccount("a", 47000), tokenAccount("b", 47000), routes.Account{Name: "free"})
	f.startThreeRegions()
	if r, err := f.nodes[8].charge("free", 90000); err != nil || r.Charge.Tokens != 0 {
		t.Errorf("account without a quota: got charge %+v, error %v, want neither", r.Charge, err)
	}
	f.eventually("a long prompt gets its tokens", func() bool { // a new authority does not know what was granted before
		r, err := f.nodes[4].charge("a", 60000)
		if err != nil && err.Kind != errkind.NoCapacity {
			t.Fatalf("got %v, want no denial: the account does not exceed its quota", err)
		}
		if err != nil {
			time.Sleep(err.RetryAfter)
		}
		return err == nil && r.Charge.Tokens == 60000
	})
	var granted atomic.Int64
	var denied, unanswered atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for _, n := range f.nodes {
		wg.Go(func() {
			for time.Now().Before(end) {
				r, err := n.charge("b", 2000) // 180,000 tokens a second from all nodes
				granted.Add(int64(r.Charge.Tokens))
				switch {
				case err == nil:
				case err.Kind == errkind.NoCapacity:
					unanswered.Add(1) // on a busy machine
				default:
					denied.Add(1)
					if err.Kind != errkind.LimitExceeded || err.RetryAfter <= 0 || err.Verdict() != domain.RunNo {
						t.Errorf("got %v, retry after %v, want a denial with a delay", err, err.RetryAfter)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	bounds := f.nodes[0].settings.Quota
	if limit := bounds.Limit(47000, 47000); float64(granted.Load()) > limit {
		t.Errorf("%d tokens in 6 s, want at most %.0f", granted.Load(), limit)
	}
	if want := int64(0.9 * (6*47000 + 23500)); granted.Load() < want {
		t.Errorf("%d tokens in 6 s, want at least %d", granted.Load(), want)
	}
	if n := unanswered.Load(); n > denied.Load()/10 {
		t.Errorf("%d draws were not answered, %d denied, want at most a tenth of that", n, denied.Load())
	}
}

// TestAuthorityIsReplaced: another node becomes the authority when it stops, and when it loses
// its path to the store; it stops granting before that.
func TestAuthorityIsReplaced(t *testing.T) {
	t.Parallel()
	f := newQuotaFleet(t, tokenAccount("a", 47000))
	f.startThreeRegions()
	first := f.authorities()[0]
	cutAt := time.Now()
	first.client.cut.Store(true)
	f.eventually("another node is the authority", func() bool {
		list := f.authorities()
		if len(list) > 1 {
			t.Fatalf("got %d authorities at once", len(list))
		}
		return len(list) == 1 && list[0] != first
	})
	f.awaitCharges(f.nodes)
	t.Logf("all nodes got tokens %v after the store was cut off", time.Since(cutAt))
	first.client.cut.Store(false)
	second := f.authorities()[0]
	stoppedAt := time.Now()
	second.cancel()
	f.eventually("a third node is the authority", func() bool {
		list := f.authorities()
		return len(list) == 1 && list[0] != second
	})
	t.Logf("another authority %v after the stop of the last one", time.Since(stoppedAt))
	var rest []*quotaNode
	for _, n := range f.nodes {
		if n != second {
			rest = append(rest, n)
		}
	}
	f.awaitCharges(rest)
	took := time.Since(stoppedAt)
	t.Logf("all nodes got tokens %v after the stop", took)
	if took > 3*time.Second {
		t.Errorf("all nodes got tokens %v after a planned stop, want at most 3 s: the lease alone takes that", took)
	}
}

// TestAuthorityIsReplacedAfterTheStoreWentBack: the store may have lost the lease but not the entry,
// which then never ends by itself.
func TestAuthorityIsReplacedAfterTheStoreWentBack(t *testing.T) {
	t.Parallel()
	f := newQuotaFleet(t, tokenAccount("a", 47000))
	for _, fd := range []domain.FailureDomain{"west-a", "east-a", "north-a"} {
		f.start(string(fd), fd, 1)
	}
	f.awaitCharges(f.nodes)
	restoredAt := time.Now()
	f.store.restore()
	f.eventually("no node is the authority", func() bool { return len(f.authorities()) == 0 })
	ended := time.Since(restoredAt)
	f.eventually("one node is the authority", func() bool { return len(f.authorities()) == 1 })
	if began := time.Since(restoredAt); began < 3*time.Second {
		t.Errorf("the next authority began %v after the store went back, want at least 3 s, as the last one may not know it", began)
	}
	f.awaitCharges(f.nodes)
	t.Logf("the term ended %v after the store went back; tokens at all nodes after %v", ended, time.Since(restoredAt))
}

// TestNodeWithoutAuthorityUsesItsEmergencyShare: requests get 503 rather than 429 while nobody
// answers for the quota, once the emergency share is used up.
func TestNodeWithoutAuthorityUsesItsEmergencyShare(t *testing.T) {
	t.Parallel()
	f := newQuotaFleet(t, tokenAccount("a", 4700000))
	f.start("n1", "west-a", 1)
	f.awaitCharges(f.nodes)
	n, charged := f.nodes[0], time.Now()
	n.client.cut.Store(true)
	f.eventually("the node is not the authority any more", func() bool { return len(f.authorities()) == 0 })
	// Until the last grants have lapsed, and what was used of the share before there was an authority.
	time.Sleep(max(1100*time.Millisecond, time.Until(charged.Add(n.settings.Quota.Window))))
	emergency := 0.0
	for range 1000 {
		r, err := n.charge("a", 0)
		if err != nil {
			if err.Kind != errkind.NoCapacity || err.RetryAfter <= 0 || err.Verdict() != domain.RunNo {
				t.Errorf("got %v, want no capacity, not run, with a delay", err)
			}
			break
		}
		emergency += r.Charge.Tokens
	}
	terms := n.settings.Quota.Terms(&n.state.table.Load().AccountByName("a").Quota)
	if emergency == 0 || emergency > terms.Emergency {
		t.Errorf("got %v tokens without authority, want more than zero and at most %v", emergency, terms.Emergency)
	}
}

// TestAccountsWithoutQuotasCauseNoCalls guards the costs of deployments without quotas.
func TestAccountsWithoutQuotasCauseNoCalls(t *testing.T) {
	t.Parallel()
	f := newQuotaFleet(t, routes.Account{Name: "a"})
	n := f.start("n1", "west-a", 1)
	f.start("n2", "east-a", 1)
	f.eventually("the node serves", n.ready.Load)
	time.Sleep(3 * time.Second)
	if _, err := n.charge("a", 100); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if calls := f.store.calls.Load(); calls > 0 {
		t.Errorf("got %d calls of the store for the authority, want none", calls)
	}
	if m := n.newMessage("east"); m.QuotaAuthority.Term != 0 {
		t.Errorf("got %+v in an exchange, want nothing", m.QuotaAuthority)
	}
}

// BenchmarkChargeQuota measures a request for which the node has tokens.
func BenchmarkChargeQuota(b *testing.B) {
	n := New(&Settings{Node: "n", Place: domain.Place{Region: "west", FailureDomain: "west-a"}, MemoryBytes: 1 << 28, Quota: quota.Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 190000},
		RetryWindow: time.Second}, Dependencies{Documents: testDocuments{}}, event.Discard{}, telemetry.NewMetrics(domain.Place{}))
	account := tokenAccount("a", 1e9)
	terms := n.quotas.bounds.Terms(&account.Quota)
	r := &relay.Request{Account: &account, Route: &routes.Route{}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 { // the tokens lapse after a second
			now := boottime.Now()
			n.quotas.balance.Wait(now, "a", &terms, 1)
			if d := n.quotas.balance.NextDraw(now); d != nil {
				n.quotas.balance.Complete(now, d, []quota.Grant{{Account: "a", Tokens: 1e9, Validity: time.Second}})
			}
		}
		if err := n.chargeQuota(context.Background(), r); err != nil {
			b.Fatal(err)
		}
		n.refundQuota(r)
	}
}

// TestRestartedAuthorityContinuesItsTerm guards against refusing the requests of all accounts for
// the rest of a lease after all processes were killed at once: the node that was the authority
// may begin again at once, and no other one.
func TestRestartedAuthorityContinuesItsTerm(t *testing.T) {
	t.Parallel()
	f := newQuotaFleet(t, tokenAccount("a", 47000))
	f.store.items[testQuotaKey] = ports.Item{Key: testQuotaKey, Value: []byte(`{"node": "west-a0", "incarnation": 1, "address": "127.0.0.1:1"}`), Revision: 2}
	n := f.start("west-a0", "west-a", 0.8) // the entry has no lease and would never lapse
	f.eventually("the node is the authority", func() bool { return len(f.authorities()) == 1 })
	f.awaitCharges([]*quotaNode{n})
	for entry, want := range map[string]bool{
		`{"node": "west-a0", "incarnation": 1}`:              true,
		`{"node": "west-a0", "incarnation": 99999999999999}`: false, // of this process, or written after the time of day was set back
		`{"node": "west-a1", "incarnation": 1}`:              false,
		`no entry`:                                           false,
	} {
		replaceable, ended := n.quotas.replaceable(&ports.Item{Key: testQuotaKey, Value: []byte(entry), Revision: 7})
		if replaceable != want || ended != want {
			t.Errorf("entry %s: replaceable %v, ended %v, want %v", entry, replaceable, ended, want)
		}
	}
}
