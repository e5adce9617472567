package connlimit

import "time"

const (
	// HeadTimeSlack allows for the accuracy with which times are enforced.
	HeadTimeSlack = time.Second
	// UnreadTime is how long a write to a caller may make no progress, UnreadTimeShort the same
	// while most of the requests that may be in flight are, and PeerUnreadTime to other nodes,
	// which may be suspended.
	UnreadTime      = 10 * time.Second
	UnreadTimeShort = 3 * time.Second
	PeerUnreadTime  = 30 * time.Second
	// ShortRequests and ShortBodies are the parts of the requests and of the body bytes from which
	// on clients that make no progress are cut off.
	ShortRequests = 0.75
	ShortBodies   = 0.5
	// BodyFraction is the part of the memory for the bodies of requests in flight.
	BodyFraction = 0.2
	// BytesPerRequest is the memory that a request in flight uses for goroutines, buffers and two
	// connections.
	BytesPerRequest = 96 << 10
)
