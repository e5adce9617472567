package adoption

import (
	"sync"
	"sync/atomic"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Holder holds the lists in effect. The version returned by Current never decreases. It
// is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[lists.Snapshot]

	mu      sync.Mutex // held while a version is installed
	adopted func(*lists.Snapshot)
	refused func(domain.ListsVersion, error)
}

// NewHolder returns a Holder without lists. adopted and refused are called for adopted
// and invalid versions, in the order of adoption. They may be nil and must not call
// Adopt.
func NewHolder(adopted func(*lists.Snapshot), refused func(domain.ListsVersion, error)) *Holder {
	return &Holder{adopted: adopted, refused: refused}
}

// Current returns the lists in effect; nil before the first adoption.
func (h *Holder) Current() *lists.Snapshot { return h.current.Load() }

// Version returns the version in effect; zero before the first adoption.
func (h *Holder) Version() domain.ListsVersion {
	s := h.current.Load()
	if s == nil {
		return 0
	}
	return s.Version
}

// Adopt makes v the lists in effect if its version is higher than the current one. If v
// is invalid, it retains the current version and returns an error of kind bad_request.
func (h *Holder) Adopt(v *lists.Versioned) (adopted bool, err error) {
	if v.Version <= h.Version() {
		return false, nil
	}
	next, err := lists.Compile(v)
	if err != nil {
		h.refuse(v.Version, err)
		return false, err
	}
	return h.install(next), nil
}

func (h *Holder) install(next *lists.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Another version may have been installed during compilation.
	if next.Version <= h.Version() {
		return false
	}
	h.current.Store(next)
	if h.adopted != nil {
		h.adopted(next)
	}
	return true
}

func (h *Holder) refuse(version domain.ListsVersion, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refused != nil {
		h.refused(version, err)
	}
}
