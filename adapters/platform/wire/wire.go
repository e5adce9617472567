// Package wire declares the JSON messages of the platform's HTTP interface.
// Every call is a POST of one request message to its path; the answer is the
// response message with status 200, or an Error with another status.
package wire

import (
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Paths of the calls.
const (
	PathGet       = "/v1/kv/get"
	PathList      = "/v1/kv/list"
	PathSwap      = "/v1/kv/compare-and-swap"
	PathWatch     = "/v1/kv/watch"
	PathGrant     = "/v1/leases/grant"
	PathKeepAlive = "/v1/leases/keep-alive"
	PathRevoke    = "/v1/leases/revoke"
	PathVMs       = "/v1/vms/list"
	PathAnnounce  = "/v1/directory/announce"
	PathWithdraw  = "/v1/directory/withdraw"
	PathLookup    = "/v1/directory/lookup"
	PathReserve   = "/v1/weights/reserve"
)

// Empty is a message without fields.
type Empty struct{}

// KeyRequest asks for one key, or for a prefix of keys.
type KeyRequest struct {
	Key string `json:"key"`
}

// Entry is a key with its value and revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Entries answers a List.
type Entries struct {
	Entries []Entry `json:"entries"`
}

// SwapRequest asks for a compare-and-swap.
type SwapRequest struct {
	Key      string        `json:"key"`
	Previous uint64        `json:"previous"`
	Value    []byte        `json:"value"`
	Lease    ports.LeaseID `json:"lease,omitempty"`
}

// WatchRequest asks for a revision above After, for at most Wait; the answer
// is an Error of kind timeout if there is none by then.
type WatchRequest struct {
	Key   string        `json:"key"`
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait_ns"`
}

// GrantRequest asks for a lease.
type GrantRequest struct {
	TTL time.Duration `json:"ttl_ns"`
}

// Lease is a granted lease.
type Lease struct {
	ID       ports.LeaseID `json:"id"`
	TTL      time.Duration `json:"ttl_ns"`
	Revision uint64        `json:"revision"`
}

// LeaseRequest names a lease to extend or to end.
type LeaseRequest struct {
	ID ports.LeaseID `json:"id"`
}

// VMsRequest asks for the VMs of a failure domain, or of all if it is empty.
type VMsRequest struct {
	FailureDomain domain.FailureDomain `json:"failure_domain,omitempty"`
}

// VMs answers a VMsRequest.
type VMs struct {
	VMs []ports.VM `json:"vms"`
}

// AnnounceRequest puts a record into the directory.
type AnnounceRequest struct {
	Record ports.DirectoryRecord `json:"record"`
	TTL    time.Duration         `json:"ttl_ns"`
}

// WithdrawRequest removes a record from the directory.
type WithdrawRequest struct {
	Node domain.NodeID `json:"node"`
}

// Records answers a Lookup.
type Records struct {
	Records []ports.DirectoryRecord `json:"records"`
}

// ReserveRequest asks to read a model's weights.
type ReserveRequest struct {
	Model string `json:"model"`
}

// Reservation tells how long to hold back.
type Reservation struct {
	Wait time.Duration `json:"wait_ns"`
}

// Error is the answer of a failed call.
type Error struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
	// Entry is the current entry when a compare-and-swap lost.
	Entry *Entry `json:"entry,omitempty"`
}

// FromEntry converts an entry to its message.
func FromEntry(e ports.KVEntry) Entry {
	return Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

// KV converts a message to its entry.
func (e Entry) KV() ports.KVEntry {
	return ports.KVEntry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

// StatusOf returns the HTTP status for an error's kind.
func StatusOf(k errkind.Kind) int {
	if s := errkind.Lookup(k).Status; s != 0 {
		return s
	}
	return http.StatusInternalServerError
}
