package settings

import (
	"time"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
	"github.com/crocusspread/crocusspread/core/domain"
)

// Profile is the main objective of routing.
type Profile string

const (
	// ProfileLatency prefers low tail latency.
	ProfileLatency Profile = "latency"
	// ProfileCost prefers low cost and a small share of forwarded requests.
	ProfileCost Profile = "cost"
)

// Settings holds the settings of one node.
type Settings struct {
	Node        Node          `yaml:"node" doc:"Who the node is and where it stands."`
	Listen      Listen        `yaml:"listen" doc:"Where the node listens. Others reach it at the same addresses."`
	Platform    Platform      `yaml:"platform" doc:"The platform's services."`
	Profile     Profile       `yaml:"profile" doc:"What routing weighs most: latency (tail latency) or cost (cost and the share of requests sent away)." unit:"latency or cost" validate:"oneof=latency cost"`
	TLS         TLS           `yaml:"tls" doc:"Key material. Without it the node speaks in clear text."`
	TimeLimits  TimeLimits    `yaml:"time_limits" doc:"How long the node waits."`
	Drain       Drain         `yaml:"drain" doc:"How the node stops as planned."`
	Sizes       Sizes         `yaml:"sizes" doc:"Bounds for what callers send."`
	Limits      Limits        `yaml:"limits" doc:"Limits of the process, from which those for clients are derived."`
	KeptAnswers KeptAnswers   `yaml:"kept_answers" doc:"Answers of calls that may not be repeated, kept in memory for callers that ask again."`
	Orders      Orders        `yaml:"orders" doc:"Orders to the model engines of the node's failure domain."`
	Heartbeat   time.Duration `yaml:"heartbeat_interval" doc:"Time between two heartbeats to another node." unit:"duration" validate:"min=100ms,max=10s"`
	Links       []Link        `yaml:"link_budgets" doc:"What this node may send to each other region; a region that is not listed has no bound." unit:"list" validate:"dive"`
}

// Node identifies the node and its location.
type Node struct {
	ID            domain.NodeID        `yaml:"id" doc:"Name of the node, unique in the fleet and kept across restarts." unit:"text" validate:"required,max=128"`
	Region        domain.Region        `yaml:"region" doc:"Region of the node, as the lists name it." unit:"text" validate:"required,max=128"`
	FailureDomain domain.FailureDomain `yaml:"failure_domain" doc:"Failure domain of the node, as the platform's VM list names it." unit:"text" validate:"required,max=128"`
}

// Place returns the location of the node.
func (n Node) Place() domain.Place {
	return domain.Place{Region: n.Region, FailureDomain: n.FailureDomain}
}

// Listen holds the listen addresses, each host:port with an IP address as the host.
type Listen struct {
	Caller string `yaml:"caller" doc:"Address for callers (HTTP)." unit:"IP:port" validate:"required"`
	Peer   string `yaml:"peer" doc:"Address for other nodes (gRPC)." unit:"IP:port" validate:"required"`
	// AdvertisedPeer is the address published to other nodes in place of Peer, unless
	// it is empty.
	AdvertisedPeer string `yaml:"advertised_peer" doc:"Address at which other nodes reach listen.peer, where address translation stands between; empty for listen.peer itself." unit:"IP:port"`
	Admin          string `yaml:"admin" doc:"Address for operators: status, metrics, liveness and readiness (HTTP). Keep it off public networks." unit:"IP:port" validate:"required"`
}

// Platform holds the location of the platform's services.
type Platform struct {
	URL string `yaml:"url" doc:"Base URL of the platform's services, with the host as an IP number." unit:"URL" validate:"required"`
}

// TLS holds the keys and certificates.
type TLS struct {
	Callers CallerTLS `yaml:"callers" doc:"TLS for callers. Give both files or neither."`
	Nodes   NodeTLS   `yaml:"nodes" doc:"Mutual TLS between nodes. Give all three files or none."`
}

// CallerTLS holds the key and certificate for connections with callers.
type CallerTLS struct {
	Cert string `yaml:"cert" doc:"Certificate chain (PEM). A relative path starts at the settings file." unit:"path"`
	Key  string `yaml:"key" doc:"Private key (PEM)." unit:"path"`
}

// Enabled reports whether callers are served over TLS.
func (t CallerTLS) Enabled() bool { return t.Cert != "" }

// NodeTLS holds the key and certificates for mutual TLS between nodes.
type NodeTLS struct {
	Cert string `yaml:"cert" doc:"Certificate chain of this node (PEM)." unit:"path"`
	Key  string `yaml:"key" doc:"Private key of this node (PEM)." unit:"path"`
	CA   string `yaml:"ca" doc:"Certificates that sign the nodes' certificates (PEM)." unit:"path"`
}

// Enabled reports whether nodes use mutual TLS.
func (t NodeTLS) Enabled() bool { return t.Cert != "" }

// TimeLimits holds the timeouts of the node.
type TimeLimits struct {
	Header   time.Duration `yaml:"header" doc:"Longest time for a caller to send its request's header." unit:"duration" validate:"min=100ms,max=5m"`
	Request  time.Duration `yaml:"request" doc:"Longest time of one request, from its header to the end of its answer." unit:"duration" validate:"min=1s,max=24h"`
	Progress time.Duration `yaml:"progress" doc:"Longest time without a byte, keep-alives included, before an attempt counts as silent." unit:"duration" validate:"min=100ms,max=10m"`
}

// Drain holds the settings of a graceful shutdown.
type Drain struct {
	EntryTTL time.Duration `yaml:"entry_ttl" doc:"How long callers may use a list of entries; a leaving node waits that long after it left the list." unit:"duration" validate:"min=100ms,max=1m"`
	Max      time.Duration `yaml:"max" doc:"Longest time of a planned stop." unit:"duration" validate:"min=1s,max=24h"`
}

// Sizes holds the limits for what callers send.
type Sizes struct {
	MaxBody   yamldoc.ByteSize `yaml:"max_body" doc:"Largest body of a request that the node holds in memory." unit:"size" validate:"min=1024,max=1073741824"`
	MaxHeader yamldoc.ByteSize `yaml:"max_header" doc:"Largest header of a request." unit:"size" validate:"min=1024,max=16777216"`
}

// Limits holds the limits of the process.
type Limits struct {
	Memory    yamldoc.ByteSize `yaml:"memory" doc:"Memory that the process may use; 0B stands for that of the machine. The bodies of all requests in flight take at most a fifth of it." unit:"size" validate:"omitempty,min=67108864,max=1099511627776"`
	OpenFiles int              `yaml:"open_files" doc:"Open files and connections that the process may have; 0 stands for the limit of the operating system." unit:"files" validate:"min=0,max=1048576"`
}

// KeptAnswers holds the limits for the responses retained in memory.
type KeptAnswers struct {
	MaxBytes  yamldoc.ByteSize `yaml:"max_bytes" doc:"Memory for kept answers; the oldest go first." unit:"size" validate:"min=1024,max=1099511627776"`
	Retention time.Duration    `yaml:"retention" doc:"How long an answer is kept." unit:"duration" validate:"min=1s,max=24h"`
}

// Orders holds the limits for orders to engines.
type Orders struct {
	MaxModelsPerEngine int `yaml:"max_models_per_engine" doc:"How many models an engine is filled up to; 0 orders nothing. The same on all nodes of a failure domain." unit:"models" validate:"min=0,max=1000"`
}

// Link is the bandwidth budget of the link to another region.
type Link struct {
	Region         domain.Region `yaml:"region" doc:"The other region." unit:"text" validate:"required"`
	MegabitsPerSec int           `yaml:"megabits_per_second" doc:"What this node may send there." unit:"megabits per second" validate:"min=1,max=1000000"`
}

// Defaults returns the default settings; required keys are empty.
func Defaults() *Settings {
	return &Settings{
		Listen:      Listen{Admin: "127.0.0.1:8082"},
		Profile:     ProfileLatency,
		TimeLimits:  TimeLimits{Header: 5 * time.Second, Request: 10 * time.Minute, Progress: 20 * time.Second},
		Drain:       Drain{EntryTTL: 5 * time.Second, Max: 15 * time.Minute},
		Sizes:       Sizes{MaxBody: 8 * yamldoc.MiB, MaxHeader: 32 * yamldoc.KiB},
		KeptAnswers: KeptAnswers{MaxBytes: 32 * yamldoc.MiB, Retention: 10 * time.Minute},
		Orders:      Orders{MaxModelsPerEngine: 4},
		Heartbeat:   time.Second,
	}
}
