package faulttest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// soakAccount is a client account of the routing table.
type soakAccount struct {
	name             string
	keys             []string
	perSecond, burst float64 // of its quota, which counts requests
}

const (
	// soakKeyPrefix begins all keys, so that they are found where they must not be.
	soakKeyPrefix  = "soak-key-"
	soakLargeKey   = soakKeyPrefix + "large"
	soakSmallKey   = soakKeyPrefix + "small"
	soakUnknownKey = soakKeyPrefix + "unknown"
	// The quota of the small account, and the bounds of quotas. The slack is far below the
	// default, so that a node that admits without tokens exceeds the bound.
	soakSmallRate, soakSmallBurst = 2, 2
	soakQuotaWindow               = 8 * time.Second
	soakQuotaOver                 = 0.1
	soakQuotaSlack                = 40
	// keySequence is the random sequence of the keys of the first caller. The keys have
	// sequences of their own, so that a seed draws the same requests and faults without them.
	keySequence = 1000
)

// soakRevocableKeys are the keys that are removed during the faults, in this order.
var soakRevocableKeys = []string{soakKeyPrefix + "revocable-1", soakKeyPrefix + "revocable-2"}

func soakAccounts() []soakAccount {
	return []soakAccount{
		{name: "large", keys: []string{soakLargeKey}, perSecond: 10000, burst: 10000},
		{name: "rotating", keys: soakRevocableKeys, perSecond: 10000, burst: 10000},
		{name: "small", keys: []string{soakSmallKey}, perSecond: soakSmallRate, burst: soakSmallBurst},
	}
}

// tenants returns accounts as the routing table has them.
func tenants(accounts []soakAccount) (list []any) {
	for _, a := range accounts {
		list = append(list, map[string]any{"name": a.name, "api_keys": a.keys, "rate_per_s": a.perSecond, "burst": a.burst})
	}
	return list
}

// drawSoakKey draws the key of a request; it is empty if the request carries none.
func drawSoakKey(rng *rand.Rand) string {
	switch n := rng.IntN(100); {
	case n < 5:
		return ""
	case n < 10:
		return soakUnknownKey
	case n < 18:
		return soakSmallKey
	case n < 30:
		return soakRevocableKeys[rng.IntN(len(soakRevocableKeys))]
	}
	return soakLargeKey
}

// revocation is the removal of a key.
type revocation struct {
	key string
	at  time.Time // of the store's acknowledgement
}

// The first key is removed within firstRevocation, so that faults still occur when its bound has
// passed, and each further one within furtherRevocation of the one before.
const (
	firstRevocation   = 800 * time.Millisecond
	furtherRevocation = 3 * time.Second
)

// revokeKeys removes the revocable keys from the routing table, one after the other.
func (d *soakDeployment) revokeKeys(rng *rand.Rand) (revocations []revocation) {
	within := firstRevocation
	for _, key := range soakRevocableKeys {
		time.Sleep(time.Duration(rng.Int64N(int64(within))))
		within = furtherRevocation
		d.mu.Lock()
		for i := range d.accounts {
			d.accounts[i].keys = slices.DeleteFunc(slices.Clone(d.accounts[i].keys), func(k string) bool { return k == key })
		}
		d.publishNext()
		d.mu.Unlock()
		revocations = append(revocations, revocation{key, time.Now()})
	}
	return revocations
}

// sendRevoked sends requests with the removed keys to all nodes once the bound has passed.
func (d *soakDeployment) sendRevoked(revocations []revocation) (responses []soakResponse) {
	for _, v := range revocations {
		time.Sleep(time.Until(v.at.Add(revocationBound + time.Millisecond)))
		for _, n := range d.nodes {
			responses = append(responses, n.sendKeyed(&http.Transport{DisableKeepAlives: true}, "safe", "revoked", v.key))
		}
	}
	return responses
}

// checkAccounts checks that requests run only with a valid key, under the name of its account,
// without the key and within the quota of the small account.
func (d *soakDeployment) checkAccounts(responses []soakResponse, revocations []revocation) {
	owners := make(map[string]string) // account names by key
	for _, a := range soakAccounts() {
		for _, key := range a.keys {
			owners[key] = a.name
		}
	}
	sent := make(map[string]soakResponse)
	statuses := make(map[string]map[int]int) // number of responses by account and status
	late := 0
	for _, r := range responses {
		sent[r.id] = r
		owner := owners[r.key]
		if statuses[owner] == nil {
			statuses[owner] = make(map[int]int)
		}
		statuses[owner][r.status]++
		removed := slices.ContainsFunc(revocations, func(v revocation) bool { return v.key == r.key })
		expired := sentAfterBound(r, revocations)
		if expired {
			late++
		}
		refused := r.status == http.StatusUnauthorized || r.status == http.StatusServiceUnavailable || r.status == 0
		switch {
		case owner == "" && !refused:
			d.t.Errorf("request %s without a known key got status %d, want 401 or 503", r.id, r.status)
		case expired && !refused:
			d.t.Errorf("request %s, sent more than %v after its key was removed, got status %d, want 401 or 503", r.id, revocationBound, r.status)
		case owner != "" && !removed && r.status == http.StatusUnauthorized:
			d.t.Errorf("request %s with a valid key got status 401", r.id)
		}
		if strings.Contains(r.body, soakKeyPrefix) {
			d.t.Errorf("the response to request %s contains a key", r.id)
		}
	}
	firstRuns := make(map[string]time.Time) // of the small account's requests
	for _, u := range d.allUpstreams() {
		for _, q := range u.Requests() {
			id, tenant := q.Header.Get("X-Request-Id"), q.Header.Values("X-Tenant")
			if strings.Contains(fmt.Sprint(q.Target, q.Header), soakKeyPrefix) || q.Header.Get("Authorization") != "" {
				d.t.Errorf("request %s reached upstream %s with a key", id, u.ID)
			}
			r, found := sent[id]
			if !found {
				continue // a request of another check
			}
			owner := owners[r.key]
			if owner == "" {
				d.t.Errorf("request %s without a known key reached upstream %s", id, u.ID)
			} else if !slices.Equal(tenant, []string{owner}) {
				d.t.Errorf("request %s of account %s reached upstream %s with X-Tenant %q", id, owner, u.ID, tenant)
			}
			if q.Executed && sentAfterBound(r, revocations) {
				d.t.Errorf("request %s ran at %s, although it was sent %v after its key was removed", id, u.ID, r.sentAt.Sub(revokedAt(r.key, revocations)))
			}
			if first, ran := firstRuns[id]; q.Executed && owner == "small" && (!ran || q.At.Before(first)) {
				firstRuns[id] = q.At
			}
		}
	}
	limit := (soakSmallRate*soakQuotaWindow.Seconds()+soakSmallBurst)*(1+soakQuotaOver) + soakQuotaSlack
	highest := maxInWindow(slices.Collect(maps.Values(firstRuns)), soakQuotaWindow)
	if float64(highest) > limit {
		d.t.Errorf("%d requests of the small account ran within %v, want at most %.0f", highest, soakQuotaWindow, limit)
	}
	d.t.Logf("responses by account and status: %v; %d sent after the bound with a removed key; at most %d of the small account ran in %v", statuses, late, highest, soakQuotaWindow)
}

// revokedAt returns when a key was removed; it is zero if it was not.
func revokedAt(key string, revocations []revocation) time.Time {
	for _, v := range revocations {
		if v.key == key {
			return v.at
		}
	}
	return time.Time{}
}

// sentAfterBound reports whether a request was sent with a removed key after the bound.
func sentAfterBound(r soakResponse, revocations []revocation) bool {
	at := revokedAt(r.key, revocations)
	return !at.IsZero() && r.sentAt.After(at.Add(revocationBound))
}

// maxInWindow returns the highest number of times in any window of the given length.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// checkLogsWithoutKeys checks that no process of the node has logged a key.
func (n *soakNode) checkLogsWithoutKeys(t *testing.T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range append(slices.Clone(n.former), n.proc) {
		if strings.Contains(p.out.String(), soakKeyPrefix) {
			t.Errorf("the log of %s contains a key", n.name)
		}
	}
}
