package membership

import (
	"strings"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Heartbeat is the message that two nodes exchange, as request and as reply.
type Heartbeat struct {
	Sender       Member
	ListsVersion domain.ListsVersion
	// Members are other nodes of the sender's failure domain.
	Members []Member
	// Upstreams are the sender's own requests at the upstreams of its domain.
	Upstreams []UpstreamLoad
	// Domains are load reports of failure domains.
	Domains []DomainLoad
	// Demands are relayed without interpretation.
	Demands []LimitDemand
}

// Member is a node with its heartbeat counter.
type Member struct {
	// Node is empty if Handle is set.
	Node domain.NodeRef
	// Handle refers, in place of Node, to a record that the receiver should already
	// have; a receiver without it ignores the member.
	Handle uint64
	// HeartbeatCounter increases by one a round. Its initial value is the start time of
	// the process in units of beatUnit, so that a restarted process exceeds its
	// predecessor. A process that learns of a higher counter of an earlier process
	// continues above it.
	HeartbeatCounter uint64
	// Suspect is set if a heartbeat to the node failed after HeartbeatCounter was
	// received.
	Suspect bool
}

// UpstreamLoad is the load that the sender's own requests put on one upstream.
type UpstreamLoad struct {
	Upstream domain.UpstreamID
	InFlight uint32
	// PendingTokens is the number of prompt tokens sent and not yet answered.
	PendingTokens uint64
	Leaving       bool
	Suspect       bool
}

// DomainLoad is a load report of one failure domain.
type DomainLoad struct {
	// Place has no region in a relayed report without nodes.
	Place domain.Place
	// Sequence increases with each report that the domain publishes.
	Sequence uint64
	// AgeMillis is the time since a node of the domain itself sent the report.
	AgeMillis uint32
	// RTTMicros is the round-trip time to the domain; zero if unknown.
	RTTMicros uint32
	// LiveNodes is the number of live nodes of the domain.
	LiveNodes uint32
	// Targets holds the loads of changed targets and a rotating share of the others.
	Targets []TargetLoad
	// Nodes is a sample of the domain's live nodes; empty if omitted.
	Nodes []domain.NodeRef
}

// TargetLoad is the load of one target in one failure domain.
type TargetLoad struct {
	Target domain.Target
	// Slots is the maximum number of concurrent requests; zero if the target is no
	// longer served.
	Slots uint32
	Free  uint32
	// WaitMillis is the expected delay until the first token.
	WaitMillis uint32
	// CostMilli is the cost per million tokens in thousandths of the cost unit.
	CostMilli uint32
	// Sequence is the number that the origin assigned to the report.
	Sequence uint64
}

// domainPrefix is the prefix of the name under which a failure domain's aggregate
// demands are disseminated.
const domainPrefix = "@"

// DomainDemandOrigin returns the name under which a failure domain's aggregate demands
// are disseminated. Only these are sent to other failure domains.
func DomainDemandOrigin(fd domain.FailureDomain) domain.NodeID {
	return domain.NodeID(domainPrefix + string(fd))
}

// DemandOriginDomain returns the failure domain to which an aggregate demand belongs;
// false if id is the ID of a node.
func DemandOriginDomain(id domain.NodeID) (domain.FailureDomain, bool) {
	name, ok := strings.CutPrefix(string(id), domainPrefix)
	return domain.FailureDomain(name), ok
}

// LimitDemand is the demand of a node, or the aggregate demand of a failure domain, for
// the shared limits of a customer.
type LimitDemand struct {
	Customer        domain.CustomerID
	Node            domain.NodeID
	Sequence        uint64
	InFlight        uint32
	Waiting         uint32
	TokensPerSecond uint32
}

// Outgoing is a heartbeat to send.
type Outgoing struct {
	To      domain.NodeRef
	Message Heartbeat
}
