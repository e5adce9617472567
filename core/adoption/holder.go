package adoption

import (
	"sync"
	"sync/atomic"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Holder holds the lists in force. Current never returns a lower version than
// it did before. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[lists.Snapshot]

	mu      sync.Mutex // held while a version is put in force
	adopted func(*lists.Snapshot)
	refused func(domain.ListsVersion, error)
}

// NewHolder returns a Holder without lists. adopted and refused may be nil;
// they are called in the order of adoption and must not call Adopt.
func NewHolder(adopted func(*lists.Snapshot), refused func(domain.ListsVersion, error)) *Holder {
	return &Holder{adopted: adopted, refused: refused}
}

// Current returns the lists in force; nil before the first adoption.
func (h *Holder) Current() *lists.Snapshot { return h.current.Load() }

// Version returns the version in force; zero before the first adoption.
func (h *Holder) Version() domain.ListsVersion {
	s := h.current.Load()
	if s == nil {
		return 0
	}
	return s.Version
}

// Adopt puts v in force if its version is higher and it is valid as a whole. It
// returns an error of kind bad_request, and keeps the old version, if not valid.
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
	// Another version may have come into force during the compilation.
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
