package node

import (
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/peer"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/admission"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/orders"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	vmListInterval    = 2 * time.Second
	loadInterval      = time.Second
	snapshotInterval  = 50 * time.Millisecond
	listsInterval     = 200 * time.Millisecond
	upkeepInterval    = time.Second
	orderInterval     = time.Second
	urgentInterval    = 50 * time.Millisecond
	directoryTTL      = 30 * time.Second
	directoryInterval = 10 * time.Second
	platformTimeout   = 3 * time.Second
	// loadPollsPerSecond limits the rate of a node's load polls, regardless of the
	// number of upstreams in its failure domain.
	loadPollsPerSecond = 4
	explainCapacity    = 8192
	linkBurst          = 200 * time.Millisecond
	bitsPerByte        = 8
	bitsPerMegabit     = 1e6
)

// Platform holds the services of the platform that a node uses.
type Platform struct {
	KV        ports.KV
	VMList    ports.VMList
	Directory ports.Directory
	Weights   ports.WeightStore
}

// Listeners holds the listeners of a node.
type Listeners struct {
	Caller net.Listener
	Peer   net.Listener
	Admin  net.Listener
}

// Config is the configuration of a node. Addresses are host:port, with an IP address
// as the host.
type Config struct {
	ID            domain.NodeID
	Place         domain.Place
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// AdvertisedPeer is the address at which other nodes reach PeerAddress; empty if
	// it is the same.
	AdvertisedPeer string
	Profile        routing.Profile
	// CallerTLS is the TLS configuration for callers; nil for plain text.
	CallerTLS *tls.Config
	// PeerServerTLS and PeerClientTLS are the TLS configurations for connections
	// between nodes; nil for plain text.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
	// HeaderTimeout and RequestTimeout limit the time for a caller's request header
	// and for the whole request.
	HeaderTimeout  time.Duration
	RequestTimeout time.Duration
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MemoryBytes and MaxOpenFiles are the limits of the process, from which the limits for clients
	// are derived; zero for the memory of the machine and for the limit of the operating system.
	MemoryBytes  int64
	MaxOpenFiles int
	// EntryTTL is how long callers may cache a list of entries; DrainTimeout limits the
	// duration of a graceful shutdown.
	EntryTTL     time.Duration
	DrainTimeout time.Duration
	// RetainedResponseBytes and ResponseRetention limit the retained responses to
	// non-repeatable calls.
	RetainedResponseBytes int
	ResponseRetention     time.Duration
	HeartbeatInterval     time.Duration
	// LinkMbps is the bandwidth budget to each other region, in megabits per
	// second; there is no limit to regions that are missing.
	LinkMbps map[domain.Region]int
	Upstream upstream.Options
	// Admission configures the limits for queues and retries; defaults replace zero
	// fields.
	Admission admission.Config
	Platform  Platform
	// Orders configures the orders to engines; nil for the defaults.
	Orders *orders.Config
	// Listeners holds listeners that are already open at the addresses above; Run
	// opens them if it is nil.
	Listeners *Listeners
	// PeerDial is the dialer for connections to other nodes; nil for TCP.
	PeerDial peer.DialFunc
	// Policy overrides the routing policy of the profile unless it is nil.
	Policy *routing.Policy
	Log    event.Logger
}

// advertisedPeer returns the peer address that is published to other nodes.
func (c *Config) advertisedPeer() string {
	if c.AdvertisedPeer != "" {
		return c.AdvertisedPeer
	}
	return c.PeerAddress
}

// transportCredentials returns gRPC credentials for a TLS configuration; nil means plain
// text.
func transportCredentials(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c)
}

// linkBudget returns the bandwidth budget to a region, or nil if there is no limit.
func (c *Config) linkBudget(r domain.Region) *routing.LinkBudget {
	megabits, ok := c.LinkMbps[r]
	if !ok || r == c.Place.Region {
		return nil
	}
	return routing.NewLinkBudget(float64(megabits)*bitsPerMegabit/bitsPerByte, linkBurst)
}
