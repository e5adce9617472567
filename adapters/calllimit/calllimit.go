// Package calllimit limits what clients of a gRPC server can take of a process with calls that
// never arrive, and with replies that they never take.
package calllimit

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
)

const (
	// maxHeaderList limits the header fields of a call; gRPC's own limit is 16 MB.
	maxHeaderList = 16 << 10 // bytes
	// readBuffer is the read buffer of a connection; with gRPC's own size, 32 KB, silent
	// connections take twice as much.
	readBuffer = 16 << 10 // bytes
	// handshakeTimeout limits the time until a connection is established; it allows for several
	// round trips between regions with lost packets.
	handshakeTimeout = 10 * time.Second
	// receiveTimeout limits the time in which the first message of a call arrives. The largest one
	// takes a third of a second at 140 Mbit/s.
	receiveTimeout = 20 * time.Second
	// maxHeldCalls is the number of calls whose message may be arriving. A connection with less than
	// shareHeldCalls is not closed for that.
	maxHeldCalls   = 1000
	shareHeldCalls = 32
	// replyFraction is the part of the memory for replies that have not been sent whole, and
	// replyUnit the memory that one takes with what it is made from.
	replyFraction = 1.0 / 16
	replyUnit     = 32 << 10 // bytes
	// shareOfReplies is the part of that which the replies of a connection may take in any case.
	shareOfReplies = 1.0 / 8
)

// Calls limits the calls of one server.
type Calls struct {
	receives      *connlimit.Receives
	held, replies *connlimit.Held
	large         map[string]int
}

// New returns limits for a server; name is that of its listener. large holds the memory in bytes that
// the replies of a method take, by the full name of the method, where it is more than 32 KB.
func New(g *connlimit.Guard, name string, memoryBytes int64, large map[string]int) *Calls {
	replies := int(replyFraction*float64(memoryBytes)) / replyUnit
	neverShort := func() bool { return false } // gRPC does not tell how much of a message has arrived
	return &Calls{
		receives: connlimit.NewReceives(g, name, connlimit.CallStalled, receiveTimeout, neverShort),
		held:     connlimit.NewHeld(maxHeldCalls, shareHeldCalls, connlimit.CallStalled),
		replies:  connlimit.NewHeld(replies, int(shareOfReplies*float64(replies)), connlimit.Unread),
		large:    large,
	}
}

// Options returns the options of the server, whose connections have at most maxStreams streams each.
// An interceptor for streams must call Received.
func (l *Calls) Options(maxStreams uint32) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderList), grpc.ReadBufferSize(readBuffer),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InTapHandle(l.begin), grpc.UnaryInterceptor(l.unary),
	}
}

// callKey is the context key of a call.
type callKey struct{}

// call is a call whose first message has not arrived yet.
type call struct {
	limits  *Calls
	client  net.Addr
	receive *connlimit.Receive
	arrived atomic.Bool
}

// begin records a call before its message arrives.
func (l *Calls) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{limits: l, receive: l.receives.Begin(cancel)}
	if p, ok := peer.FromContext(ctx); ok {
		c.client = p.Addr
	}
	l.held.Begin(c.client, 1)
	// A call that ends before its message has arrived passes no interceptor.
	context.AfterFunc(ctx, c.end)
	return context.WithValue(ctx, callKey{}, c), nil
}

// end records that the message has arrived, or that the call has ended before.
func (c *call) end() {
	if !c.arrived.Swap(true) {
		c.receive.End()
		c.limits.held.End(c.client, 1)
	}
}

// Received records that the first message of a call has arrived. The connection of the client then
// is that of another node.
func Received(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.end()
		connlimit.MarkServed(c.client)
	}
}

// Expect records that there is room for all that a call says that it sends. Its connection is then
// not closed to make room.
func Expect(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		connlimit.MarkServed(c.client)
	}
}

// unary handles calls with one reply. The reply counts until the client has taken it.
func (l *Calls) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	Received(ctx)
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return handler(ctx, req)
	}
	units := max(1, l.large[info.FullMethod]/replyUnit)
	room := l.replies.Begin(c.client, units)
	// It is registered after the handler, which holds its reply also if the call has ended.
	defer func() { context.AfterFunc(ctx, func() { l.replies.End(c.client, units) }) }()
	if !room {
		return nil, status.Error(codes.Unavailable, "too many replies have not been taken")
	}
	return handler(ctx, req)
}
