package lists

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	maxPriority  = 9
	sha256HexLen = 64
)

// Problem is one validation error of a document.
type Problem struct {
	// Key is the path of the invalid key, for instance "plans[2].regions[0]".
	Key     string
	Message string
}

// Validate returns every problem of the document as text, starting with the path of
// the key.
func (d *Document) Validate() []string {
	var texts []string
	for _, p := range d.Problems() {
		texts = append(texts, p.Key+": "+p.Message)
	}
	return texts
}

// CheckSize returns an error if the document is too large for the key-value service.
func (d *Document) CheckSize() error {
	bytes, err := json.Marshal(d)
	if err != nil {
		return errkind.New(errkind.Internal, "encode the lists: %w", err)
	}
	if len(bytes) > MaxDocumentBytes {
		return errkind.New(errkind.BodyTooLarge, "the lists have %d bytes; the key-value service accepts at most %d", len(bytes), MaxDocumentBytes)
	}
	return nil
}

// Problems returns every problem of the document.
func (d *Document) Problems() []Problem {
	v := validator{regions: make(map[domain.Region]bool), services: make(map[string]bool), plans: make(map[domain.PlanID]bool)}
	v.checkRegions(d.Regions)
	v.checkServices(d.Services)
	v.checkPlans(d.Plans)
	v.checkCustomers(d.Customers)
	return v.problems
}

type validator struct {
	problems []Problem
	regions  map[domain.Region]bool
	services map[string]bool
	plans    map[domain.PlanID]bool
}

func (v *validator) addf(key, format string, args ...any) {
	v.problems = append(v.problems, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
}

// item returns the path of a list item.
func item(list string, i int) string {
	return fmt.Sprintf("%s[%d]", list, i)
}

func (v *validator) checkRegions(regions []domain.Region) {
	for i, r := range regions {
		if r == "" {
			v.addf(item("regions", i), "empty name")
		}
		if v.regions[r] {
			v.addf(item("regions", i), "%q is declared twice", r)
		}
		v.regions[r] = true
	}
}

func (v *validator) checkServices(services []Service) {
	for i, s := range services {
		if s.ID == "" || strings.Contains(s.ID, "/") {
			v.addf(item("services", i)+".id", "%q is empty or contains a slash", s.ID)
		}
		if v.services[s.ID] {
			v.addf(item("services", i)+".id", "%q is declared twice", s.ID)
		}
		v.services[s.ID] = true
		v.checkRoutes(item("services", i), s.Routes)
	}
}

func (v *validator) checkRoutes(service string, routes []Route) {
	for i, r := range routes {
		if !strings.HasPrefix(r.PathPrefix, "/") {
			v.addf(item(service+".routes", i)+".path_prefix", "%q has no leading slash", r.PathPrefix)
		}
	}
}

func (v *validator) checkPlans(plans []Plan) {
	for i, p := range plans {
		if p.ID == "" {
			v.addf(item("plans", i)+".id", "empty id")
		}
		if v.plans[p.ID] {
			v.addf(item("plans", i)+".id", "%q is declared twice", p.ID)
		}
		v.plans[p.ID] = true
		v.checkPlan(item("plans", i), p)
	}
}

func (v *validator) checkPlan(key string, p Plan) {
	if len(p.Regions) == 0 {
		v.addf(key+".regions", "plan %q allows no region", p.ID)
	}
	for i, r := range p.Regions {
		if !v.regions[r] {
			v.addf(item(key+".regions", i), "plan %q: unknown region %q", p.ID, r)
		}
	}
	if p.Home != "" && !slices.Contains(p.Regions, p.Home) {
		v.addf(key+".home", "plan %q: home %q is not among its regions", p.ID, p.Home)
	}
	if p.HomeOnly && p.Home == "" {
		v.addf(key+".home_only", "plan %q: home_only without home", p.ID)
	}
	for i, s := range p.Services {
		if !v.services[s] {
			v.addf(item(key+".services", i), "plan %q: unknown service %q", p.ID, s)
		}
	}
	if p.Priority < 0 || p.Priority > maxPriority {
		v.addf(key+".priority", "plan %q: priority %d is not within 0 to %d", p.ID, p.Priority, maxPriority)
	}
	if p.Limits.Concurrency < 0 || p.Limits.TokensPerSecond < 0 || p.Limits.MaxOutputTokens < 0 {
		v.addf(key+".limits", "plan %q: a limit is negative", p.ID)
	}
}

func (v *validator) checkCustomers(customers []Customer) {
	ids := make(map[domain.CustomerID]bool)
	hashes := make(map[string]domain.CustomerID)
	for i, c := range customers {
		if c.ID == "" {
			v.addf(item("customers", i)+".id", "empty id")
		}
		if ids[c.ID] {
			v.addf(item("customers", i)+".id", "%q is listed twice", c.ID)
		}
		ids[c.ID] = true
		if !v.plans[c.Plan] {
			v.addf(item("customers", i)+".plan", "customer %q: unknown plan %q", c.ID, c.Plan)
		}
		v.checkKeyHashes(item("customers", i)+".key_hashes", c, hashes)
	}
}

func (v *validator) checkKeyHashes(key string, c Customer, seen map[string]domain.CustomerID) {
	for i, h := range c.KeyHashes {
		h = strings.ToLower(h)
		if _, err := hex.DecodeString(h); err != nil || len(h) != sha256HexLen {
			v.addf(item(key, i), "customer %q: not a SHA-256 in hex", c.ID)
		}
		if other, ok := seen[h]; ok {
			v.addf(item(key, i), "customer %q: the key also belongs to customer %q", c.ID, other)
		}
		seen[h] = c.ID
	}
}
