// Package wire defines the JSON messages of the platform's HTTP interface. Every
// call is a POST of one request message to its path. The response is the response
// message with status 200, or an Error with another status.
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
	PathGet            = "/v1/kv/get"
	PathList           = "/v1/kv/list"
	PathCompareAndSwap = "/v1/kv/compare-and-swap"
	PathWatch          = "/v1/kv/watch"
	PathGrant          = "/v1/leases/grant"
	PathKeepAlive      = "/v1/leases/keep-alive"
	PathRevoke         = "/v1/leases/revoke"
	PathVMs            = "/v1/vms/list"
	PathAnnounce       = "/v1/directory/announce"
	PathWithdraw       = "/v1/directory/withdraw"
	PathLookup         = "/v1/directory/lookup"
	PathReserve        = "/v1/weights/reserve"
)

// Empty is a message without fields.
type Empty struct{}

// KeyRequest requests one key or, in a List call, all keys with a prefix.
type KeyRequest struct {
	Key string `json:"key"`
}

// Entry is a key with its value and revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Entries is the response to a List call.
type Entries struct {
	Entries []Entry `json:"entries"`
}

// CompareAndSwapRequest requests a compare-and-swap. Previous is the expected revision.
type CompareAndSwapRequest struct {
	Key      string        `json:"key"`
	Previous uint64        `json:"previous"`
	Value    []byte        `json:"value"`
	Lease    ports.LeaseID `json:"lease,omitempty"`
}

// WatchRequest waits up to Wait for a revision of Key that is greater than After.
// The response is an Error of kind timeout if there is none by then.
type WatchRequest struct {
	Key   string        `json:"key"`
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait_ns"`
}

// GrantRequest requests a lease.
type GrantRequest struct {
	TTL time.Duration `json:"ttl_ns"`
}

// Lease is a granted lease.
type Lease struct {
	ID       ports.LeaseID `json:"id"`
	TTL      time.Duration `json:"ttl_ns"`
	Revision uint64        `json:"revision"`
}

// LeaseRequest identifies the lease to extend or to revoke.
type LeaseRequest struct {
	ID ports.LeaseID `json:"id"`
}

// VMsRequest requests the VMs of a failure domain, or of all failure domains if it
// is empty.
type VMsRequest struct {
	FailureDomain domain.FailureDomain `json:"failure_domain,omitempty"`
}

// VMs is the response to a VMsRequest.
type VMs struct {
	VMs []ports.VM `json:"vms"`
}

// AnnounceRequest adds a record to the directory or replaces that of the same node.
// The record expires after TTL.
type AnnounceRequest struct {
	Record ports.DirectoryRecord `json:"record"`
	TTL    time.Duration         `json:"ttl_ns"`
}

// WithdrawRequest removes the record of a node from the directory.
type WithdrawRequest struct {
	Node domain.NodeID `json:"node"`
}

// Records is the response to a Lookup call.
type Records struct {
	Records []ports.DirectoryRecord `json:"records"`
}

// ReserveRequest requests a reservation to read the weights of a model.
type ReserveRequest struct {
	Model string `json:"model"`
}

// Reservation is the response to a ReserveRequest. Wait is the time to wait before
// reading the weights.
type Reservation struct {
	Wait time.Duration `json:"wait_ns"`
}

// Error is the response of a failed call.
type Error struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
	// Entry is the current entry if a compare-and-swap failed because of a conflict.
	Entry *Entry `json:"entry,omitempty"`
}

// FromEntry converts a KV entry to its message.
func FromEntry(e ports.KVEntry) Entry {
	return Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

// KV converts the message to a KV entry.
func (e Entry) KV() ports.KVEntry {
	return ports.KVEntry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

// StatusOf returns the HTTP status for an error kind, by default 500.
func StatusOf(k errkind.Kind) int {
	if status := errkind.Lookup(k).Status; status != 0 {
		return status
	}
	return http.StatusInternalServerError
}
