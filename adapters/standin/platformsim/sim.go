// Package platformsim is an in-memory simulator of the platform: its key-value
// service, VM list, directory and weight store. It implements the ports
// directly and also serves the platform's HTTP interface as an http.Handler.
package platformsim

import (
	"net/http"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// defaultMaxValueBytes is the default of Config.MaxValueBytes.
	defaultMaxValueBytes = 1 << 20
)

// Config configures a Sim.
type Config struct {
	// VMs is the initial VM list, which is visible immediately.
	VMs []ports.VM `yaml:"vms" json:"vms"`
	// VMLag is the delay after which a change of the VM list becomes visible.
	VMLag time.Duration `yaml:"vm_lag" json:"vm_lag_ns"`
	// ReservationsPerSecond limits the rate of the weight store; zero means no limit.
	ReservationsPerSecond float64 `yaml:"reservations_per_second" json:"reservations_per_second"`
	// MaxValueBytes is the maximum size of a value in the key-value service; zero
	// means 1 MiB.
	MaxValueBytes int `yaml:"max_value_bytes" json:"max_value_bytes"`
	// Now is the clock for leases, visibility delays and rate limits; nil means
	// time.Now.
	Now func() time.Time `yaml:"-" json:"-"`
}

// Sim is a simulated platform. It is safe for concurrent use.
type Sim struct {
	cfg    Config
	now    func() time.Time
	mux    *http.ServeMux
	faults faultSet

	mu               sync.Mutex
	revision         uint64
	keys             map[string]*keyState
	leases           map[ports.LeaseID]*lease
	changed          chan struct{} // closed and replaced on every change
	vmVersions       []vmVersion
	directoryEntries []directoryEntry
	nextReservation  time.Time // earliest time of the next weight store reservation
}

// New returns a simulated platform.
func New(cfg Config) *Sim {
	s := &Sim{
		cfg:     cfg,
		now:     cfg.Now,
		keys:    make(map[string]*keyState),
		leases:  make(map[ports.LeaseID]*lease),
		changed: make(chan struct{}),
	}
	if s.now == nil {
		s.now = time.Now
	}
	if s.cfg.MaxValueBytes == 0 {
		s.cfg.MaxValueBytes = defaultMaxValueBytes
	}
	s.vmVersions = []vmVersion{{vms: cfg.VMs}}
	s.mux = s.routes()
	return s
}

// ExpireLeases expires leases according to the injected clock and wakes all watches.
// It is only needed after a test has advanced an injected clock.
func (s *Sim) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
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
