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
	// loadPollsPerSecond bounds a node's load calls, whatever the number of
	// upstreams in its failure domain.
	loadPollsPerSecond = 4
	explainCapacity    = 8192
	linkBurst          = 200 * time.Millisecond
	bitsPerByte        = 8
	bitsPerMegabit     = 1e6
)

// Platform is what a node needs of the platform.
type Platform struct {
	KV        ports.KV
	VMList    ports.VMList
	Directory ports.Directory
	Weights   ports.WeightStore
}

// Listeners are a node's open sockets.
type Listeners struct {
	Caller net.Listener
	Peer   net.Listener
	Admin  net.Listener
}

// Config sets up a node. Addresses are host:port with the host as an IP number.
type Config struct {
	ID            domain.NodeID
	Place         domain.Place
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// AdvertisedPeer is where other nodes reach PeerAddress; empty if they reach it
	// directly.
	AdvertisedPeer string
	Profile        routing.Profile
	// CallerTLS secures the callers' listener; nil for clear text.
	CallerTLS *tls.Config
	// PeerServerTLS and PeerClientTLS secure the connections between nodes.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
	// HeaderTimeout and RequestTimeout bound callers' requests.
	HeaderTimeout  time.Duration
	RequestTimeout time.Duration
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// EntryTTL is how long callers may use an entry list; DrainMax bounds a
	// planned stop.
	EntryTTL time.Duration
	DrainMax time.Duration
	// KeptAnswerBytes and KeptAnswerRetention bound the answers of
	// non-repeatable calls.
	KeptAnswerBytes     int
	KeptAnswerRetention time.Duration
	HeartbeatInterval   time.Duration
	// LinkMegabits is the budget to each other region, in megabits per second;
	// regions that are missing have no bound.
	LinkMegabits map[domain.Region]int
	Upstream     upstream.Options
	// Admission bounds queues and retries; zero fields take defaults.
	Admission admission.Config
	Platform  Platform
	// Orders replaces the settings of the orders to engines; nil for the defaults.
	Orders *orders.Config
	// Listeners are sockets that are open already, at the addresses above; nil to
	// open them in Run.
	Listeners *Listeners
	// PeerDial replaces the dialer for connections to other nodes; nil for TCP.
	PeerDial peer.DialFunc
	// Policy replaces the profile's routing policy; nil to keep it.
	Policy *routing.Policy
	Log    event.Logger
}

// advertisedPeer returns the peer address that other nodes are told.
func (c *Config) advertisedPeer() string {
	if c.AdvertisedPeer != "" {
		return c.AdvertisedPeer
	}
	return c.PeerAddress
}

func serverCredentials(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c)
}

// linkBudget returns the budget towards a region, nil for no bound.
func (c *Config) linkBudget(r domain.Region) *routing.LinkBudget {
	megabits, ok := c.LinkMegabits[r]
	if !ok || r == c.Place.Region {
		return nil
	}
	return routing.NewLinkBudget(float64(megabits)*bitsPerMegabit/bitsPerByte, linkBurst)
}
