package routes

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Account is a client account of the routing table.
type Account struct {
	Name string
	// Keys are the bearer keys of the account. SetAccounts replaces them by their hashes.
	Keys []string
	// KeyHashes are the hashes of further keys.
	KeyHashes []KeyHash
	// Priority is the priority among the accounts; 0 is most urgent. It goes before the
	// priority of the route.
	Priority int
	// Regions are the regions that may process the account's requests; empty allows all.
	Regions []domain.Region
	Quota   Quota

	// firstLevel and levels are the request priorities of the account's requests, set by
	// SetAccounts.
	firstLevel, levels int
}

// Quota limits what the requests of an account use over all nodes together.
type Quota struct {
	// CountsTokens is set if a request counts by its tokens; otherwise each counts as one.
	CountsTokens bool
	// TokensPerPlainRequest is what a request without a number of tokens counts as.
	TokensPerPlainRequest int
	// PerSecond and Burst are in tokens or requests; a PerSecond of zero means no limit.
	PerSecond float64
	Burst     float64
}

// Cost returns what a request with the given number of prompt and output tokens counts as.
// Both numbers are zero for a request that states none.
func (q *Quota) Cost(inputTokens, outputTokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case inputTokens == 0 && outputTokens == 0:
		return float64(q.TokensPerPlainRequest)
	}
	return float64(inputTokens) + float64(outputTokens)
}

// Allows reports whether the account's requests may be processed in a region.
func (a *Account) Allows(region domain.Region) bool {
	return len(a.Regions) == 0 || slices.Contains(a.Regions, region)
}

// KeyHash identifies a bearer key. A lookup by hash takes the same time whatever part
// of a key is right.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// SetAccounts validates the client accounts and adds them to a table that is not in use
// yet.
func (t *Table) SetAccounts(accounts []Account) error {
	var errs []error
	t.accounts = make(map[string]*Account, len(accounts))
	t.accountsByKey = make(map[KeyHash]*Account)
	for i := range accounts {
		a := &accounts[i]
		errs = append(errs, a.check()...)
		if t.accounts[a.Name] != nil {
			errs = append(errs, fmt.Errorf("account %q is listed twice", a.Name))
		}
		t.accounts[a.Name] = a
		t.hasQuotas = t.hasQuotas || a.Quota.PerSecond > 0
		for _, key := range a.Keys {
			a.KeyHashes = append(a.KeyHashes, HashKey(key))
		}
		for _, hash := range a.KeyHashes {
			if other := t.accountsByKey[hash]; other != nil && other != a {
				errs = append(errs, fmt.Errorf("accounts %q and %q have a key in common", other.Name, a.Name))
			}
			t.accountsByKey[hash] = a
		}
		a.Keys, a.KeyHashes = nil, nil
	}
	t.rankPriorities(accounts)
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("routing table version %d: %w", t.Version, err)
	}
	return nil
}

func (a *Account) check() []error {
	var errs []error
	if a.Name == "" {
		errs = append(errs, errors.New("account without a name"))
	}
	if strings.ContainsFunc(a.Name, unicode.IsControl) {
		errs = append(errs, fmt.Errorf("account %q: the name cannot be sent in a header", a.Name))
	}
	if a.Quota.PerSecond < 0 || a.Quota.Burst < 0 || a.Quota.TokensPerPlainRequest < 0 {
		errs = append(errs, fmt.Errorf("account %q: the quota has a negative number", a.Name))
	}
	return errs
}

// HasAccounts reports whether requests need the key of a client account.
func (t *Table) HasAccounts() bool { return len(t.accounts) > 0 }

// HasQuotas reports whether any account has a quota.
func (t *Table) HasQuotas() bool { return t.hasQuotas }

// AccountByKey returns the account with the bearer key, or nil if there is none.
func (t *Table) AccountByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return t.accountsByKey[HashKey(key)]
}

// AccountByName returns the account with the name, or nil if there is none.
func (t *Table) AccountByName(name string) *Account { return t.accounts[name] }

// Accounts returns all accounts, in any order.
func (t *Table) Accounts() []*Account {
	list := make([]*Account, 0, len(t.accounts))
	for _, a := range t.accounts {
		list = append(list, a)
	}
	return list
}
