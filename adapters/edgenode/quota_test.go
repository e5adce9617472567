package edgenode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/boottime"
	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// memoryStore is a store in memory.
type memoryStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]ports.Item
	leases   map[ports.LeaseID]*memoryLease
	lastID   ports.LeaseID
	calls    atomic.Int64 // to the authority's key and of its leases
}

type memoryLease struct {
	ttl  time.Duration
	ends time.Time
	key  string
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, items: make(map[string]ports.Item), leases: make(map[ports.LeaseID]*memoryLease)}
}

func (s *memoryStore) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.revision++
			delete(s.items, l.key)
			delete(s.leases, id)
		}
	}
}

// restore goes back to a copy without leases; the items stay.
func (s *memoryStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	clear(s.leases)
}

// client is a node's connection to the store.
type client struct {
	*memoryStore
	cut atomic.Bool
}

var errCut = errkind.New(errkind.StoreUnavailable, "the link is cut")

func (c *client) lock() error {
	if c.cut.Load() {
		return errCut
	}
	c.mu.Lock()
	c.expire()
	return nil
}

func (c *client) Range(_ context.Context, prefix string) ([]ports.Item, ports.StorePosition, error) {
	if err := c.lock(); err != nil {
		return nil, ports.StorePosition{}, err
	}
	defer c.mu.Unlock()
	var list []ports.Item
	for key, i := range c.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, i)
		}
	}
	return list, ports.StorePosition{Era: c.era, Revision: c.revision}, nil
}

func (c *client) Watch(ctx context.Context, prefix string, after ports.StorePosition, wait time.Duration) ([]ports.Item, ports.StorePosition, error) {
	sleep(ctx, min(wait, 100*time.Millisecond))
	items, at, err := c.Range(ctx, prefix)
	var changed []ports.Item
	for _, i := range items {
		if i.Revision > after.Revision {
			changed = append(changed, i)
		}
	}
	return changed, at, err
}

func (c *client) Get(_ context.Context, key string) (ports.Item, error) {
	if err := c.lock(); err != nil {
		return ports.Item{}, err
	}
	defer c.mu.Unlock()
	if key == testQuotaKey {
		c.calls.Add(1)
	}
	return c.items[key], nil
}

func (c *client) Put(_ context.Context, key string, value []byte, lease ports.Lease, previous uint64) (uint64, error) {
	if err := c.lock(); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	if key == testQuotaKey {
		c.calls.Add(1)
	}
	if c.items[key].Revision != previous {
		return 0, errkind.New(errkind.Conflict, "%s has another revision", key)
	}
	c.revision++
	c.items[key] = ports.Item{Key: key, Value: value, Revision: c.revision}
	if l := c.leases[lease.ID]; l != nil {
		l.key = key
	}
	return c.revision, nil
}

func (c *client) Delete(_ context.Context, key string, revision uint64) error {
	if err := c.lock(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if c.items[key].Revision != revision {
		return errkind.New(errkind.Conflict, "%s has another revision", key)
	}
	c.revision++
	delete(c.items, key)
	return nil
}

func (c *client) GrantLease(_ context.Context, ttl time.Duration) (ports.Lease, error) {
	if err := c.lock(); err != nil {
		return ports.Lease{}, err
	}
	defer c.mu.Unlock()
	c.lastID++
	c.leases[c.lastID] = &memoryLease{ttl: ttl, ends: time.Now().Add(ttl)}
	return ports.Lease{ID: c.lastID, TTL: ttl, Era: c.era}, nil
}

func (c *client) KeepAlive(_ context.Context, lease ports.Lease) error {
	if err := c.lock(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	l := c.leases[lease.ID]
	if l == nil || lease.Era != c.era {
		return errkind.New(errkind.NotFound, "no lease %d", lease.ID)
	}
	if l.key == testQuotaKey {
		c.calls.Add(1)
	}
	l.ends = time.Now().Add(l.ttl)
	return nil
}

const testQuotaKey = "quota/authority"

// testDocuments decodes any value of the key "op/table" as a table with the accounts.
type testDocuments struct {
	accounts []routes.Account
}

func (testDocuments) OperatorPrefix() string                              { return "op/" }
func (testDocuments) InstancePrefix() string                              { return "servers/" }
func (testDocuments) NodePrefix() string                                  { return "nodes/" }
func (testDocuments) WithoutKeys(table []byte) ([]byte, error)            { return table, nil }
func (testDocuments) QuotaAuthorityKey() string                           { return testQuotaKey }
func (testDocuments) IsTable(key string) bool                             { return key == "op/table" }
func (testDocuments) EvacuatedDomain(string) (domain.FailureDomain, bool) { return "", false }
func (testDocuments) DecodeInstance(string, []byte) (instances.Instance, error) {
	return instances.Instance{}, errors.New("there are no upstreams")
}

func (d testDocuments) DecodeTable([]byte) (*routes.Table, error) {
	t, err := routes.New(1, []routes.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Idempotent, Timeout: 4 * time.Second, MaxAttempts: 1,
		Split: []routes.WeightedService{{Service: "app", Weight: 1}}}},
		[]routes.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 100}}, routes.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	if err != nil {
		return nil, err
	}
	return t, t.SetAccounts(append([]routes.Account(nil), d.accounts...))
}

// testDialect has the paths of a node's own listeners; no callers send requests.
type testDialect struct{ edge.Dialect }

func (testDialect) ReadyPath() string     { return "/ready" }
func (testDialect) DirectoryPath() string { return "/directory" }

// quotaFleet is a number of nodes on loopback, with a store in memory.
type quotaFleet struct {
	t     *testing.T
	store *memoryStore
	nodes []*quotaNode
	docs  testDocuments
}

type quotaNode struct {
	*Node
	client *client
	cancel context.CancelFunc
	done   chan struct{}
}

var testRegions = map[domain.FailureDomain]domain.Region{"west-a": "west", "east-a": "east", "north-a": "north"}

func newQuotaFleet(t *testing.T, accounts ...routes.Account) *quotaFleet {
	f := &quotaFleet{t: t, store: newMemoryStore(), docs: testDocuments{accounts: accounts}}
	f.store.items["op/table"] = ports.Item{Key: "op/table", Value: []byte("{}"), Revision: 1}
	return f
}

// testPorts are below the ephemeral port range, so that no outgoing connection takes a port before
// its node listens on it.
const minTestPort, maxTestPort = 12000, 20000

// assignedTestPorts holds the ports that freeTestAddress has returned.
var assignedTestPorts sync.Map

func freeTestAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", minTestPort+rand.IntN(maxTestPort-minTestPort))
		if _, assigned := assignedTestPorts.LoadOrStore(address, true); assigned {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("found no free port")
	return ""
}

func (f *quotaFleet) start(name string, fd domain.FailureDomain, cores float64) *quotaNode {
	s := &Settings{Node: domain.NodeID(name), Place: domain.Place{Region: testRegions[fd], FailureDomain: fd}, RegionByFailureDomain: testRegions,
		EntryAddress: freeTestAddress(f.t), ReadyAddress: freeTestAddress(f.t), DirectoryAddress: freeTestAddress(f.t), PeerAddress: freeTestAddress(f.t),
		StoreAddress: "127.0.0.1:1", MemoryBytes: 256 << 20, MaxOpenFiles: 4096, CPUCores: cores,
		GracePeriod: 4 * time.Second, RetryRatio: 0.2, RetrySlack: 58, RetryWindow: 10 * time.Second, MinLease: time.Second,
		Quota: quota.Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 190000}}
	if len(f.nodes) > 0 {
		s.Seeds = []string{f.nodes[0].settings.PeerAddress}
	}
	c := &client{memoryStore: f.store}
	ctx, cancel := context.WithCancel(context.Background())
	n := &quotaNode{Node: New(s, Dependencies{Store: c, Documents: f.docs, Edge: testDialect{}, DropStoreConnections: func() {}}, event.Discard{}, telemetry.NewMetrics(s.Place)),
		client: c, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		if err := n.Run(ctx); err != nil {
			f.t.Errorf("node %s: %v", name, err)
		}
	}()
	f.nodes = append(f.nodes, n)
	f.t.Cleanup(func() {
		for _, n := range f.nodes {
			n.cancel() // all at once, because a shutdown takes seconds
		}
		<-n.done
	})
	return n
}

func (f *quotaFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not in time: %s", what)
}

// authorities returns the nodes that grant tokens at present.
func (f *quotaFleet) authorities() []*quotaNode {
	var list []*quotaNode
	for _, n := range f.nodes {
		if n.quotas.authority.Active(boottime.Now()) {
			list = append(list, n)
		}
	}
	return list
}

// charge charges one request at a node.
func (n *quotaNode) charge(account string, input int) (*relay.Request, *errkind.Error) {
	table := n.state.table.Load()
	r := &relay.Request{Account: table.AccountByName(account), Route: table.ByName("r"), Deadline: time.Now().Add(4 * time.Second)}
	r.Prompt.InputTokens = input
	return r, n.chargeQuota(context.Background(), r)
}

func tokenAccount(name string, rate float64) routes.Account {
	return routes.Account{Name: name, Quota: routes.Quota{CountsTokens: true, TokensPerPlainRequest: 200, PerSecond: rate, Burst: rate}}
}

// startThreeRegions starts two nodes of the largest capacity in each region and a small one, and
// waits until all can charge.
func (f *quotaFleet) startThreeRegions() {
	for _, fd := range []domain.FailureDomain{"west-a", "east-a", "north-a"} {
		for i := range 3 {
			cores := 0.8
			if i == 2 {
				cores = 0.4
			}
			f.start(fmt.Sprint(fd, i), fd, cores)
		}
	}
	f.eventually("a node of the largest capacity is the authority", func() bool {
		list := f.authorities()
		return len(list) == 1 && list[0].settings.CPUCores == 0.8
	})
	f.awaitCharges(f.nodes)
}

// awaitCharges waits until each node gets tokens.
func (f *quotaFleet) awaitCharges(nodes []*quotaNode) {
	f.t.Helper()
	for _, n := range nodes {
		f.eventually(fmt.Sprintf("node %s has a table", n.settings.Node), func() bool { return n.state.table.Load() != nil })
		f.eventually(fmt.Sprintf("node %s gets tokens", n.settings.Node), func() bool {
			r, err := n.charge("a", 0)
			return err == nil && r.Charge.Tokens == 200 && !n.quotas.unanswered.Load()
		})
	}
}

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
