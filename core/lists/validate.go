package lists

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	maxPriority  = 9
	sha256HexLen = 64
)

// Validate returns every problem of the document, each naming its place.
func (d *Document) Validate() []string {
	v := validator{regions: make(map[domain.Region]bool), services: make(map[string]bool), plans: make(map[domain.PlanID]bool)}
	v.checkRegions(d.Regions)
	v.checkServices(d.Services)
	v.checkPlans(d.Plans)
	v.checkCustomers(d.Customers)
	return v.problems
}

type validator struct {
	problems []string
	regions  map[domain.Region]bool
	services map[string]bool
	plans    map[domain.PlanID]bool
}

func (v *validator) addf(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *validator) checkRegions(regions []domain.Region) {
	for i, r := range regions {
		if r == "" {
			v.addf("regions[%d]: empty name", i)
		}
		if v.regions[r] {
			v.addf("regions[%d]: %q is declared twice", i, r)
		}
		v.regions[r] = true
	}
}

func (v *validator) checkServices(services []Service) {
	for i, s := range services {
		if s.ID == "" || strings.Contains(s.ID, "/") {
			v.addf("services[%d]: id %q is empty or holds a slash", i, s.ID)
		}
		if v.services[s.ID] {
			v.addf("services[%d]: %q is declared twice", i, s.ID)
		}
		v.services[s.ID] = true
		for j, r := range s.Routes {
			if !strings.HasPrefix(r.PathPrefix, "/") {
				v.addf("services[%d].routes[%d]: path_prefix %q lacks its leading slash", i, j, r.PathPrefix)
			}
		}
	}
}

func (v *validator) checkPlans(plans []Plan) {
	for i, p := range plans {
		if p.ID == "" {
			v.addf("plans[%d]: empty id", i)
		}
		if v.plans[p.ID] {
			v.addf("plans[%d]: %q is declared twice", i, p.ID)
		}
		v.plans[p.ID] = true
		v.checkPlan(i, p)
	}
}

func (v *validator) checkPlan(i int, p Plan) {
	if len(p.Regions) == 0 {
		v.addf("plans[%d] %q: no region allowed", i, p.ID)
	}
	for _, r := range p.Regions {
		if !v.regions[r] {
			v.addf("plans[%d] %q: unknown region %q", i, p.ID, r)
		}
	}
	if p.Home != "" && !slices.Contains(p.Regions, p.Home) {
		v.addf("plans[%d] %q: home %q is not among its regions", i, p.ID, p.Home)
	}
	if p.HomeOnly && p.Home == "" {
		v.addf("plans[%d] %q: home_only without home", i, p.ID)
	}
	for _, s := range p.Services {
		if !v.services[s] {
			v.addf("plans[%d] %q: unknown service %q", i, p.ID, s)
		}
	}
	if p.Priority < 0 || p.Priority > maxPriority {
		v.addf("plans[%d] %q: priority %d is not within 0 to %d", i, p.ID, p.Priority, maxPriority)
	}
	if p.Limits.Concurrency < 0 || p.Limits.TokensPerSecond < 0 || p.Limits.MaxOutputTokens < 0 {
		v.addf("plans[%d] %q: a limit is negative", i, p.ID)
	}
}

func (v *validator) checkCustomers(customers []Customer) {
	ids := make(map[domain.CustomerID]bool)
	hashes := make(map[string]domain.CustomerID)
	for i, c := range customers {
		if c.ID == "" {
			v.addf("customers[%d]: empty id", i)
		}
		if ids[c.ID] {
			v.addf("customers[%d]: %q is listed twice", i, c.ID)
		}
		ids[c.ID] = true
		if !v.plans[c.Plan] {
			v.addf("customers[%d] %q: unknown plan %q", i, c.ID, c.Plan)
		}
		v.checkKeyHashes(i, c, hashes)
	}
}

func (v *validator) checkKeyHashes(i int, c Customer, seen map[string]domain.CustomerID) {
	for j, h := range c.KeyHashes {
		h = strings.ToLower(h)
		if _, err := hex.DecodeString(h); err != nil || len(h) != sha256HexLen {
			v.addf("customers[%d] %q: key_hashes[%d] is not a SHA-256 in hex", i, c.ID, j)
		}
		if other, ok := seen[h]; ok {
			v.addf("customers[%d] %q: key_hashes[%d] is also a key of %q", i, c.ID, j, other)
		}
		seen[h] = c.ID
	}
}
