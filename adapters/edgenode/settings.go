package edgenode

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/quota"
)

// Settings holds the configuration of a node.
type Settings struct {
	Node  domain.NodeID
	Place domain.Place
	// RegionByFailureDomain maps each failure domain of the fleet to its region.
	RegionByFailureDomain map[domain.FailureDomain]domain.Region
	// The addresses are host:port pairs.
	EntryAddress     string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	StoreAddress     string
	// MetricsAddress is empty if no metrics are served.
	MetricsAddress string
	// Seeds lists peer addresses of nodes that may be running, for bootstrapping.
	Seeds []string
	// MemoryBytes and MaxOpenFiles are the limits of the process for memory and open
	// files; CPUCores is the CPU time available to it, in cores.
	MemoryBytes  int64
	MaxOpenFiles int
	CPUCores     float64
	// LinkMbps is the bandwidth of the node's link in Mbit/s.
	LinkMbps float64
	// GracePeriod is the maximum duration of a graceful shutdown.
	GracePeriod time.Duration
	// RetryRatio, RetrySlack and RetryWindow define the retry budget; see package
	// sharedbounds.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Quota is the limit that the quotas of client accounts define; its window is zero if
	// quotas are not enforced.
	Quota quota.Bounds
	// MaxDirectoryTTL limits how long callers may cache a directory response.
	MaxDirectoryTTL time.Duration
	// StrictRevocation is set if no request may run that a client sent with a key later than
	// RevocationBound after the store acknowledged a routing table without it.
	StrictRevocation bool
	RevocationBound  time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}

// regions returns the regions of the fleet, sorted.
func (s *Settings) regions() []domain.Region {
	list := slices.Sorted(maps.Values(s.RegionByFailureDomain))
	return slices.Compact(list)
}

// Validate returns all errors found in the settings, joined.
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
	if s.GracePeriod <= 0 {
		errs = append(errs, errors.New("the grace period for a graceful shutdown is missing"))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindow <= 0 {
		errs = append(errs, errors.New("the retry budget is invalid: the ratio and the slack must not be negative and the window must be positive"))
	}
	if s.StrictRevocation && s.RevocationBound < minRevocationBound {
		errs = append(errs, fmt.Errorf("the bound of strict revocation is %v, at least %v is needed", s.RevocationBound, minRevocationBound))
	}
	if s.Quota.Window < 0 || s.Quota.Over < 0 || s.Quota.Slack < 0 {
		errs = append(errs, errors.New("the bounds of quotas are invalid: none may be negative"))
	}
	return errors.Join(errs...)
}

// minRevocationBound is the shortest bound of strict revocation with which nodes get proofs in time
// at all: some round trips between regions. Nodes that don't read the store need several times as much.
const minRevocationBound = 500 * time.Millisecond
