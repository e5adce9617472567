// Package orders determines which models the engines of one failure domain should
// have loaded, and sends the corresponding orders to the engines.
//
// One node of the domain, the orderer, holds a key of the key-value service
// under a lease. The key's revision is the fencing number of its orders. Some
// engines ignore the number, so safety also depends on time: an order is sent
// only if its send deadline is before the end of the lease by the holder's
// monotonic clock, and a new holder waits for the duration of a lease plus a send
// deadline before its first order. Orders state the desired set of models and are
// idempotent. spec/orders.pml specifies this protocol.
//
// The package opens no sockets and reads no clock of its own. An adapter calls
// Orderer.Round about once a second.
package orders
