// Package platformsim is an in-memory stand-in for the platform: key-value
// service, VM list, directory and weight store. It implements the ports
// directly, and serves the platform's HTTP interface as an http.Handler.
package platformsim

import (
	"net/http"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

// Default settings.
const (
	defaultMaxValueBytes = 1 << 20
)

// Config sets up a Sim.
type Config struct {
	// VMs is the initial VM list, visible at once.
	VMs []ports.VM `yaml:"vms" json:"vms"`
	// VMLag is how late the VM list shows a change.
	VMLag time.Duration `yaml:"vm_lag" json:"vm_lag_ns"`
	// ReservationsPerSecond limits the weight store; zero means no limit.
	ReservationsPerSecond float64 `yaml:"reservations_per_second" json:"reservations_per_second"`
	// MaxValueBytes bounds values of the key-value service; zero means 1 MiB.
	MaxValueBytes int `yaml:"max_value_bytes" json:"max_value_bytes"`
	// Now is the clock for leases, lags and limits; nil means time.Now.
	Now func() time.Time `yaml:"-" json:"-"`
}

// Sim is the stand-in. It is safe for concurrent use.
type Sim struct {
	cfg    Config
	now    func() time.Time
	mux    *http.ServeMux
	faults faultSet

	mu       sync.Mutex
	revision uint64
	keys     map[string]*record
	leases   map[ports.LeaseID]*lease
	changed  chan struct{} // closed and replaced on every change
	vmStates []vmState
	entries  []directoryEntry
	nextSlot time.Time // when the weight store has its next slot
}

// New returns a stand-in.
func New(cfg Config) *Sim {
	s := &Sim{
		cfg:     cfg,
		now:     cfg.Now,
		keys:    make(map[string]*record),
		leases:  make(map[ports.LeaseID]*lease),
		changed: make(chan struct{}),
	}
	if s.now == nil {
		s.now = time.Now
	}
	if s.cfg.MaxValueBytes == 0 {
		s.cfg.MaxValueBytes = defaultMaxValueBytes
	}
	s.vmStates = []vmState{{vms: cfg.VMs}}
	s.mux = s.routes()
	return s
}

// Tick lets leases lapse by the present time of the injected clock and wakes
// the watches. Only needed after moving an injected clock by hand.
func (s *Sim) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.broadcast()
}

// KV returns the key-value service.
func (s *Sim) KV() ports.KV { return kv{s} }

// VMList returns the VM list.
func (s *Sim) VMList() ports.VMList { return vmList{s} }

// Directory returns the directory.
func (s *Sim) Directory() ports.Directory { return directory{s} }

// WeightStore returns the weight store.
func (s *Sim) WeightStore() ports.WeightStore { return weightStore{s} }
