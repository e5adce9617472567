package lists

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Snapshot is a compiled, immutable version of the lists.
type Snapshot struct {
	Version    domain.ListsVersion
	Source     *Versioned
	keysByHash map[string]bearerKey
	accessByID map[domain.CustomerID]*Access
	services   map[string]*Service
}

// bearerKey is the hash of a bearer key and the access that the key grants.
type bearerKey struct {
	hash   string
	access *Access
}

// Access describes the resources that one customer may use.
type Access struct {
	Customer domain.CustomerID
	Plan     *Plan
	models   map[string]struct{}
	services map[string]struct{}
	regions  map[domain.Region]struct{}
}

// Compile validates v and builds its snapshot.
func Compile(v *Versioned) (*Snapshot, error) {
	if problems := v.Document.Validate(); len(problems) > 0 {
		return nil, errkind.New(errkind.BadRequest, "lists version %d: %s", v.Version, strings.Join(problems, "; "))
	}
	s := &Snapshot{
		Version:    v.Version,
		Source:     v,
		keysByHash: make(map[string]bearerKey),
		accessByID: make(map[domain.CustomerID]*Access),
		services:   make(map[string]*Service),
	}
	plans := make(map[domain.PlanID]*Plan)
	for i := range v.Document.Plans {
		plans[v.Document.Plans[i].ID] = &v.Document.Plans[i]
	}
	for i := range v.Document.Services {
		s.services[v.Document.Services[i].ID] = &v.Document.Services[i]
	}
	for _, c := range v.Document.Customers {
		a := newAccess(c.ID, plans[c.Plan])
		s.accessByID[c.ID] = a
		for _, h := range c.KeyHashes {
			h = strings.ToLower(h)
			s.keysByHash[h] = bearerKey{hash: h, access: a}
		}
	}
	return s, nil
}

func newAccess(id domain.CustomerID, p *Plan) *Access {
	a := &Access{
		Customer: id,
		Plan:     p,
		models:   make(map[string]struct{}),
		services: make(map[string]struct{}),
		regions:  make(map[domain.Region]struct{}),
	}
	for _, m := range p.Models {
		a.models[m] = struct{}{}
	}
	for _, n := range p.Services {
		a.services[n] = struct{}{}
	}
	if p.HomeOnly {
		a.regions[p.Home] = struct{}{}
		return a
	}
	for _, r := range p.Regions {
		a.regions[r] = struct{}{}
	}
	return a
}

// HashKey returns the hash of a bearer key as stored in the lists: SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the access of the customer to whom the bearer key belongs. The
// stored hash is compared in constant time.
func (s *Snapshot) Authenticate(key string) (*Access, error) {
	h := HashKey(key)
	if k, ok := s.keysByHash[h]; ok && subtle.ConstantTimeCompare([]byte(k.hash), []byte(h)) == 1 {
		return k.access, nil
	}
	return nil, errkind.New(errkind.Unauthenticated, "the bearer key is missing or unknown")
}

// Customer returns the access of a customer by id.
func (s *Snapshot) Customer(id domain.CustomerID) (*Access, bool) {
	a, ok := s.accessByID[id]
	return a, ok
}

// Service returns the description of a plain service.
func (s *Snapshot) Service(id string) (*Service, bool) {
	svc, ok := s.services[id]
	return svc, ok
}

// AllowsRegion reports whether requests may be processed in r.
func (a *Access) AllowsRegion(r domain.Region) bool {
	_, ok := a.regions[r]
	return ok
}

// AllowsTarget reports whether the plan includes t.
func (a *Access) AllowsTarget(t domain.Target) bool {
	set := a.models
	if t.Kind == domain.TargetService {
		set = a.services
	}
	_, ok := set[t.Name]
	return ok
}

// Repeatable reports whether a call may be sent to the service more than once.
func (s *Service) Repeatable(method, path string) bool {
	for _, r := range s.Routes {
		if r.matches(method, path) {
			return r.Repeatable
		}
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

func (r *Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}
