// Package orders decides which models the engines of one failure domain should
// have loaded, and orders it.
//
// One node of the domain, the orderer, holds a key of the key-value service
// under a lease. The key's revision is the fencing number of its orders. Some
// engines ignore the number, so safety rests on time as well: an order is sent
// only if it arrives, within its send deadline, before the lease ends by the
// holder's monotonic clock; and a new holder waits for a lease and a send
// deadline before its first order. Orders state what is wanted and may be
// repeated. spec/orders.pml specifies this.
//
// The package has no sockets and no clock of its own. An adapter calls
// Orderer.Round about once a second.
package orders
