package edgenode

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Settings are what a node is told at its start.
type Settings struct {
	Node  domain.NodeID
	Place domain.Place
	// Domains maps each failure domain of the fleet to its region.
	Domains map[domain.FailureDomain]domain.Region
	// Addresses are host:port.
	EntryAddress     string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	StoreAddress     string
	// MetricsAddress is empty to serve no metrics.
	MetricsAddress string
	// Seeds are peer addresses of nodes that may run.
	Seeds []string
	// MemoryBytes and MaxFiles bound the process; ProcessorShare is in cores.
	MemoryBytes    int64
	MaxFiles       int
	ProcessorShare float64
	LinkMbps       float64
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound repeated sends; see package
	// sharedbounds.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MaxDirectoryTTL bounds how long callers keep a directory answer.
	MaxDirectoryTTL time.Duration
	// MinLease is the shortest lease of the store.
	MinLease time.Duration
}

// regions returns the regions of the fleet, sorted.
func (s *Settings) regions() []domain.Region {
	list := slices.Sorted(maps.Values(s.Domains))
	return slices.Compact(list)
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	var errs []error
	if s.Node == "" {
		errs = append(errs, errors.New("the node's name is missing"))
	}
	if s.Place.Region == "" || s.Place.FailureDomain == "" {
		errs = append(errs, errors.New("the region or the failure domain is missing"))
	}
	for name, address := range map[string]string{
		"entry": s.EntryAddress, "ready": s.ReadyAddress, "directory": s.DirectoryAddress, "peer": s.PeerAddress, "store": s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			errs = append(errs, fmt.Errorf("%s address %q: %w", name, address, err))
		}
	}
	if s.MemoryBytes <= 0 {
		errs = append(errs, errors.New("the memory limit is missing"))
	}
	if s.Grace <= 0 {
		errs = append(errs, errors.New("the grace of a planned stop is missing"))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindow <= 0 {
		errs = append(errs, errors.New("the retry budget is not sound"))
	}
	return errors.Join(errs...)
}
