package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Names of the headers that are specific to this API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOperationID    = "Crocusspread-Operation-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderListsVersion   = "Crocusspread-Lists-Version"
	HeaderRanIn          = "Crocusspread-Ran-In"
	HeaderRun            = "Crocusspread-Run"
	HeaderErrorKind      = "Crocusspread-Error-Kind"
	HeaderTimeout        = "Crocusspread-Timeout"
	// HeaderFirstTokenTimeout is how long the caller waits for the first token.
	HeaderFirstTokenTimeout = "Crocusspread-First-Token-Timeout"
	headerTraceparent       = "Traceparent"
)

// Gateway serves requests.
type Gateway interface {
	Serve(ctx context.Context, req *gateway.Request, w answer.Writer) error
}

// Operations issues IDs for non-repeatable calls and reports their status.
type Operations interface {
	Issue(customer domain.CustomerID) (domain.OperationID, error)
	Status(ctx context.Context, customer domain.CustomerID, id domain.OperationID) (OperationStatus, error)
}

// OperationStatus is the body of GET /v1/operations/{id}.
type OperationStatus struct {
	OperationID domain.OperationID `json:"operation_id"`
	// State is "running", "done", "not_run" or "unknown". Requesting the status of an
	// operation that was never started closes it: it can no longer run, and its state is
	// "not_run".
	State string     `json:"state"`
	Run   domain.Run `json:"run"`
}

// Entry is an entry node that callers may use.
type Entry struct {
	Node          domain.NodeID        `json:"node"`
	Address       string               `json:"address"`
	Region        domain.Region        `json:"region"`
	FailureDomain domain.FailureDomain `json:"failure_domain"`
}

// EntryList is the body of GET /v1/entries, best entry first.
type EntryList struct {
	Entries    []Entry `json:"entries"`
	TTLSeconds int     `json:"ttl_seconds"`
}

// Entries lists the entry nodes for callers of this node.
type Entries interface {
	Entries() EntryList
}

// Config sets the limits of callers' requests.
type Config struct {
	// MaxBodyBytes is the maximum size of a body that is buffered: of generations and
	// non-repeatable calls.
	MaxBodyBytes int64
	// RequestTimeout is the maximum duration of a request and the default if the caller
	// sets no timeout.
	RequestTimeout time.Duration
	// Bodies is the memory for buffered bodies and Receives the set of those that are arriving.
	// Nil means no limit; either both are nil or none.
	Bodies   *connlimit.Bodies
	Receives *connlimit.Receives
}

// Deps are the dependencies of a Server; all fields are required.
type Deps struct {
	Gateway    Gateway
	Operations Operations
	Entries    Entries
	Lists      func() *lists.Snapshot
	// Accepting reports whether the node accepts new requests.
	Accepting func() bool
}

// Server handles callers' requests; it is an http.Handler.
type Server struct {
	cfg  Config
	deps Deps
	mux  *http.ServeMux
}

// New returns a server with the given dependencies.
func New(cfg Config, deps Deps) *Server {
	s := &Server{cfg: cfg, deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.chatCompletions)
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("GET /v1/entries", s.entries)
	s.mux.HandleFunc("POST /v1/operations", s.issueOperation)
	s.mux.HandleFunc("GET /v1/operations/{id}", s.operationStatus)
	s.mux.HandleFunc("/services/{service}/{path...}", s.service)
	s.mux.HandleFunc("/", s.unknownPath)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An earlier answer on this connection may have left a write deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	s.mux.ServeHTTP(w, r)
}
