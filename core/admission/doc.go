// Package admission holds requests back at their entry: to their customer's
// limits, and to what the places that may serve them have free.
//
// A request passes two stages. The customer's stage keeps its concurrency and
// token rate to this node's share of the limits; see Shares for how nodes divide
// them. The target's stage lets a request through when a place that its plan
// allows has a free slot. In both, requests wait in a bounded queue that serves
// short and long work by weighted turns, and plans by priority with aging. A
// request that cannot get its first token in time is refused at once, with the
// verdict "not run" and the expected wait as advice.
package admission
