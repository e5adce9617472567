package routes_test

import (
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routes"
)

func TestAccountIsFoundByItsKeysOnly(t *testing.T) {
	tbl := table(t, route("r", "h", "/"))
	if err := tbl.SetAccounts([]routes.Account{{Name: "a", Keys: []string{"k1"}, KeyHashes: []routes.KeyHash{routes.HashKey("k2")}}, {Name: "b", Keys: []string{"k3"}}}); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "k": "", "k11": "", "": ""} {
		got := ""
		if a := tbl.AccountByKey(key); a != nil {
			got = a.Name
		}
		if got != want {
			t.Errorf("key %q belongs to account %q, want %q", key, got, want)
		}
	}
}

func TestInvalidAccountsAreRejected(t *testing.T) {
	for want, accounts := range map[string][]routes.Account{
		"without a name":  {{Keys: []string{"k"}}},
		"listed twice":    {{Name: "a"}, {Name: "a"}},
		"key in common":   {{Name: "a", Keys: []string{"k"}}, {Name: "b", KeyHashes: []routes.KeyHash{routes.HashKey("k")}}},
		"in a header":     {{Name: "a\r\nX-Other: b"}},
		"negative number": {{Name: "a", Quota: routes.Quota{PerSecond: -1}}},
	} {
		err := table(t, route("r", "h", "/")).SetAccounts(accounts)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// An error text that held a key would bring it into the log.
func TestErrorsOfAccountsHoldNoKey(t *testing.T) {
	const secret = "secret-key"
	err := table(t, route("r", "h", "/")).SetAccounts([]routes.Account{{Name: "a", Keys: []string{secret}}, {Name: "b", Keys: []string{secret}}})
	if err == nil || strings.Contains(err.Error(), secret) {
		t.Errorf("got error %v, want one without the key", err)
	}
}

func TestQuotaCost(t *testing.T) {
	byTokens := routes.Quota{CountsTokens: true, TokensPerPlainRequest: 200}
	for _, c := range []struct {
		quota         routes.Quota
		input, output int
		want          float64
	}{
		{byTokens, 17000, 120, 17120}, {byTokens, 0, 0, 200}, {routes.Quota{}, 17000, 120, 1}, {routes.Quota{}, 0, 0, 1},
	} {
		if got := c.quota.Cost(c.input, c.output); got != c.want {
			t.Errorf("a request of %d and %d tokens costs %v, want %v (%+v)", c.input, c.output, got, c.want, c.quota)
		}
	}
}

func TestAccountWithoutRegionsAllowsAll(t *testing.T) {
	restricted := routes.Account{Regions: []domain.Region{"west"}}
	if !restricted.Allows("west") || restricted.Allows("east") || !(&routes.Account{}).Allows("east") {
		t.Error("the regions of an account do not decide where its requests run")
	}
}
