package edgenode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
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

const testQuotaKey = "quota/authority"

// testDocuments decodes any value of the key "op/table" as a table with the accounts.
type testDocuments struct {
	accounts []routes.Account
}

func (testDocuments) OperatorPrefix() string { return "op/" }

func (testDocuments) InstancePrefix() string { return "servers/" }

func (testDocuments) NodePrefix() string { return "nodes/" }

func (testDocuments) SoftwarePrefix() string { return "software/" }
func (testDocuments) HeldKey() string        { return "software/@held" }

func (testDocuments) WithoutKeys(table []byte) ([]byte, error) { return table, nil }

func (testDocuments) QuotaAuthorityKey() string { return testQuotaKey }

func (testDocuments) IsTable(key string) bool { return key == "op/table" }

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

func (testDialect) ReadyPath() string { return "/ready" }

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
