package membership

import (
	"strings"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Heartbeat is what two nodes send each other, as request and as reply.
type Heartbeat struct {
	Sender       Member
	ListsVersion domain.ListsVersion
	// Members are nodes of the sender's failure domain that it heard of.
	Members []Member
	// Upstreams are the sender's own requests at upstreams of its domain.
	Upstreams []UpstreamLoad
	// Domains are readings of failure domains.
	Domains []DomainLoad
	// Demands are passed through without interpretation.
	Demands []LimitDemand
}

// Member is a node with its heartbeat counter.
type Member struct {
	// Node is empty if Handle is set.
	Node domain.NodeRef
	// Handle names, in place of Node, a record that the receiver should hold
	// already; one that does not hold it ignores the member.
	Handle uint64
	// Beat grows by one a round. It starts at the process's start in units of
	// beatUnit, so that a restarted process outranks its predecessor; it outbids
	// any other once it hears of it.
	Beat uint64
	// Suspect says that a heartbeat to the node failed after Beat was heard.
	Suspect bool
}

// UpstreamLoad is the sender's own work at one upstream.
type UpstreamLoad struct {
	Upstream domain.UpstreamID
	InFlight uint32
	// PendingTokens are prompt tokens dispatched and not yet answered.
	PendingTokens uint64
	Leaving       bool
	Suspect       bool
}

// DomainLoad is a reading of one failure domain.
type DomainLoad struct {
	// Place has no region in a relayed reading without nodes.
	Place domain.Place
	// Sequence grows with each reading that the domain publishes.
	Sequence uint64
	// AgeMillis is the time since a node of the domain itself said so.
	AgeMillis uint32
	// RTTMicros is the round trip time to the domain; zero if unknown.
	RTTMicros uint32
	// LiveNodes counts the domain's live nodes.
	LiveNodes uint32
	// Targets holds changed and rotated readings, not all.
	Targets []TargetLoad
	// Nodes is a sample of the domain's live nodes; empty if left out.
	Nodes []domain.NodeRef
}

// TargetLoad is the load of one target in one failure domain.
type TargetLoad struct {
	Target domain.Target
	// Slots is the number of requests run at once; zero: not served any more.
	Slots uint32
	Free  uint32
	// WaitMillis is the expected wait before the first token.
	WaitMillis uint32
	// CostMilli is the cost per million tokens in thousandths of the unit.
	CostMilli uint32
	// Sequence is the origin's number of the reading.
	Sequence uint64
}

// domainMark starts the name under which a failure domain's demands together are
// spread.
const domainMark = "@"

// DomainParty returns the name under which a failure domain's demands together
// are spread. They alone cross between failure domains.
func DomainParty(fd domain.FailureDomain) domain.NodeID {
	return domain.NodeID(domainMark + string(fd))
}

// PartyDomain returns the failure domain that a demand's name stands for; false if
// it is the name of a node.
func PartyDomain(id domain.NodeID) (domain.FailureDomain, bool) {
	name, ok := strings.CutPrefix(string(id), domainMark)
	return domain.FailureDomain(name), ok
}

// LimitDemand is the demand of a node, or of a failure domain together, for a
// customer's shared limits.
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
