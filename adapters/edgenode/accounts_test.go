package edgenode

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routes"
)

// keyDialect reads keys as they stand in the header Key.
type keyDialect struct{ edge.Dialect }

func (keyDialect) AccountKey(h http.Header) (string, bool) { return h.Get("Key"), h.Get("Key") != "" }
func (keyDialect) StripAccountHeaders(h http.Header)       { h.Del("Key") }

// accountTable has a private and a public route, and the accounts given.
func accountTable(t *testing.T, version uint64, accounts ...routes.Account) *routes.Table {
	t.Helper()
	var list []routes.Route
	for _, name := range []string{"private", "public"} {
		list = append(list, routes.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: routes.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Split: []routes.WeightedService{{Service: "app", Weight: 1}}, Public: name == "public"})
	}
	table, err := routes.New(version, list, []routes.Service{{Name: "app"}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if len(accounts) == 0 {
		return table
	}
	if err := table.SetAccounts(accounts); err != nil {
		t.Fatal(err)
	}
	return table
}

// The receiver's table decides on a relayed request, whose sender may have another version. A
// refusal must let the sender go on, so it is of a kind that says that the request has not run.
func TestRelayedRequestsNeedAnAccountOfTheReceiver(t *testing.T) {
	n := &Node{settings: &Settings{Place: domain.Place{Region: "west"}}, deps: Dependencies{Edge: keyDialect{}}}
	withAccounts := accountTable(t, 2, routes.Account{Name: "a"}, routes.Account{Name: "east", Regions: []domain.Region{"east"}})
	for _, c := range []struct {
		name, route, account string
		table                *routes.Table
		accepted             bool
	}{
		{"known account", "private", "a", withAccounts, true},
		{"account removed since", "private", "gone", withAccounts, false},
		{"account removed since, public route", "public", "gone", withAccounts, false},
		{"account of another region", "private", "east", withAccounts, false},
		{"sender knows no accounts", "private", "", withAccounts, false},
		{"sender knows no accounts, public route", "public", "", withAccounts, true},
		{"receiver knows no accounts", "private", "a", accountTable(t, 2), false},
		{"nobody knows accounts", "private", "", accountTable(t, 2), true},
	} {
		in := &mesh.RelayedRequest{AccountName: c.account}
		in.Header = map[string][]string{"Key": {"k"}}
		account, err := n.relayedAccount(in, c.table.ByName(c.route), c.table)
		if (err == nil) != c.accepted || err != nil && (err.Kind != errkind.ListsOutdated || err.Verdict() != domain.RunNo) {
			t.Errorf("%s: got error %v, want accepted %v", c.name, err, c.accepted)
		}
		if c.accepted && c.account != "" && (account == nil || account.Name != c.account) {
			t.Errorf("%s: got account %v, want %s", c.name, account, c.account)
		}
		if stripped := len(in.Header["Key"]) == 0; stripped != c.table.HasAccounts() {
			t.Errorf("%s: the key was removed: %v, want %v", c.name, stripped, c.table.HasAccounts())
		}
	}
}

// Deployments without accounts must not pay for them.
func TestRequestsWithoutAccountsAllocateNothing(t *testing.T) {
	n := &Node{settings: &Settings{StrictRevocation: true}, deps: Dependencies{Edge: keyDialect{}}}
	table := accountTable(t, 1)
	header := http.Header{"Key": {"k"}}
	if allocs := testing.AllocsPerRun(100, func() {
		if account, err := n.authorize(header, &table.Routes[0], table); account != nil || err != nil {
			t.Fatalf("got account %v and error %v, want neither", account, err)
		}
	}); allocs > 0 {
		t.Errorf("%v allocations for a request, want none", allocs)
	}
}

// Names of accounts come from the operator, but a large fleet has thousands of them.
func TestMetricsOfAccountsAreBounded(t *testing.T) {
	var labels accountLabels
	seen := make(map[string]bool)
	for i := range 10 * maxAccountMetrics {
		seen[labels.label(fmt.Sprint("account-", i))] = true
	}
	if len(seen) != maxAccountMetrics+1 || !seen["others"] || labels.label("account-1") != "account-1" {
		t.Errorf("%d labels, want %d and one for all others", len(seen), maxAccountMetrics)
	}
}
