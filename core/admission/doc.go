// Package admission admits, queues or refuses requests at the node that received them,
// by their customer's limits and by the free capacity for their target.
//
// A request passes two stages. The customer's stage restricts its concurrency and token
// rate to this node's share of the limits; see Shares for how nodes divide them. The
// target's stage admits a request when a node or upstream in a region that its plan
// allows has a free slot. In both, requests wait in a bounded queue that serves the
// classes Short and Long by weighted fair queueing, and plans by priority with aging. A
// request whose first token cannot arrive in time is refused immediately, with the
// verdict domain.RunNo and the expected wait as the advised retry delay.
package admission
