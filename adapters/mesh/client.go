package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	// maxMessageBytes is greater than the largest request body that deployments
	// allow, 4 MiB.
	maxMessageBytes = 6 << 20 // bytes
	// streamWindow and connectionWindow are the flow-control windows; they allow for
	// 140 Mbit/s over a round trip of 110 ms.
	streamWindow     = 256 << 10 // bytes
	connectionWindow = 2 << 20   // bytes
	// dialTimeout limits the establishment of a connection; it allows for three round
	// trips between regions and one lost packet.
	dialTimeout = 1500 * time.Millisecond
	// maxFailures is the number of consecutive failed exchanges after which a
	// connection is considered dead and replaced.
	maxFailures = 3
)

// Client makes calls to other nodes. It implements relay.Nodes.
type Client struct {
	self  domain.NodeID
	creds credentials.TransportCredentials
	dial  func(ctx context.Context, address string) (net.Conn, error)
	now   func() time.Time

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection to a node, with the number of consecutive failed exchanges.
type conn struct {
	*grpc.ClientConn
	failures int
}

// NewClient returns the client of the node self.
func NewClient(self domain.NodeID, creds credentials.TransportCredentials, dial func(context.Context, string) (net.Conn, error), now func() time.Time) *Client {
	return &Client{self: self, creds: creds, dial: dial, now: now, conns: make(map[string]*conn)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.conns {
		_ = connection.Close() // it fails only on connections that are closed already
		delete(c.conns, address)
	}
}

// conn returns the connection to an address; it creates one if there is none.
func (c *Client) conn(address string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection := c.conns[address]; connection != nil {
		return connection, nil
	}
	clientConn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "connect to %s: %w", address, err)
	}
	connection := &conn{ClientConn: clientConn}
	c.conns[address] = connection
	return connection, nil
}

// CloseUnknown closes the connections to addresses that belong to no known member.
func (c *Client) CloseUnknown(known []peers.Member) {
	knownAddresses := make(map[string]bool, len(known))
	for _, m := range known {
		knownAddresses[m.PeerAddress] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.conns {
		if !knownAddresses[address] {
			_ = connection.Close() // it fails only on connections that are closed already
			delete(c.conns, address)
		}
	}
}

// recordOutcome records the outcome of an exchange. It closes a connection with
// maxFailures consecutive failures, so that the next call opens a new one.
func (c *Client) recordOutcome(address string, connection *conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		connection.failures = 0
		return
	}
	connection.failures++
	if connection.failures >= maxFailures && c.conns[address] == connection {
		_ = connection.Close() // it fails only on connections that are closed already
		delete(c.conns, address)
	}
}

// Exchange sends a message to a node and returns its reply and the round-trip time.
func (c *Client) Exchange(ctx context.Context, address string, msg ExchangeMessage) (ExchangeMessage, time.Duration, error) {
	connection, err := c.conn(address)
	if err != nil {
		return ExchangeMessage{}, 0, err
	}
	start := c.now()
	reply, err := meshpb.NewMeshClient(connection).Exchange(ctx, messageToWire(msg))
	c.recordOutcome(address, connection, err)
	if err != nil {
		return ExchangeMessage{}, 0, errkind.New(errkind.PeerUnreachable, "exchange with %s: %w", address, err)
	}
	return messageFromWire(reply), c.now().Sub(start), nil
}

// Notify sends notices of prompts sent to upstreams to another node of the region. If
// forward is set, that node sends them to the other nodes of its failure domain.
func (c *Client) Notify(ctx context.Context, address string, notices []instances.Notice, forward bool) error {
	connection, err := c.conn(address)
	if err != nil {
		return err
	}
	if _, err := meshpb.NewMeshClient(connection).Tell(ctx, &meshpb.TellRequest{Prompts: noticesToWire(notices), PassOn: forward}); err != nil {
		return errkind.New(errkind.PeerUnreachable, "send notices to %s: %w", address, err)
	}
	return nil
}

// OperatorDocuments holds the operator's documents of another node.
type OperatorDocuments struct {
	// Position is the position of the evacuations; zero if the node has none yet.
	Position Position
	// Table is the compressed routing table; it is empty if the node has none newer
	// than requested.
	Table []byte
	// Evacuated lists the failure domains under evacuation.
	Evacuated []domain.FailureDomain
}

// UpstreamEntries holds the entries of upstreams of another node.
type UpstreamEntries struct {
	// Position is the position of the entries; zero if the node has none yet.
	Position Position
	// Values holds the entries as read from the store, by key.
	Values map[string][]byte
}

// FetchOperator fetches the operator's documents from a node; the routing table
// only if its version is greater than tableNewerThan.
func (c *Client) FetchOperator(ctx context.Context, address string, tableNewerThan uint64) (OperatorDocuments, error) {
	reply, err := c.fetch(ctx, address, &meshpb.FetchRequest{TableNewerThan: tableNewerThan})
	if err != nil {
		return OperatorDocuments{}, err
	}
	d := OperatorDocuments{Position: positionFromWire(reply.GetOperator()), Table: reply.GetTable()}
	for _, fd := range reply.GetEvacuated() {
		d.Evacuated = append(d.Evacuated, domain.FailureDomain(fd))
	}
	return d, nil
}

// FetchEntries fetches the entries of upstreams from a node.
func (c *Client) FetchEntries(ctx context.Context, address string) (UpstreamEntries, error) {
	reply, err := c.fetch(ctx, address, &meshpb.FetchRequest{Instances: true})
	if err != nil {
		return UpstreamEntries{}, err
	}
	e := UpstreamEntries{Position: positionFromWire(reply.GetEntries()), Values: make(map[string][]byte, len(reply.GetInstances()))}
	for _, doc := range reply.GetInstances() {
		e.Values[doc.GetKey()] = doc.GetValue()
	}
	return e, nil
}

// fetch makes a Fetch call.
func (c *Client) fetch(ctx context.Context, address string, request *meshpb.FetchRequest) (*meshpb.FetchReply, error) {
	connection, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := meshpb.NewMeshClient(connection).Fetch(ctx, request)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "fetch from %s: %w", address, err)
	}
	return reply, nil
}

// KeepConnected begins to connect to a node unless that is under way or done.
func (c *Client) KeepConnected(address string) {
	if connection, err := c.conn(address); err == nil {
		connection.Connect()
	}
}

// Connected implements relay.Nodes.
func (c *Client) Connected(target *peers.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	connection := c.conns[target.PeerAddress]
	return connection != nil && connection.GetState() == connectivity.Ready
}

// Relay implements relay.Nodes. A request is sent only over an established
// connection, so that an unreachable node is certain not to have run it.
func (c *Client) Relay(ctx context.Context, target *peers.Member, call *relay.Call) (relay.Answer, error) {
	connection, err := c.conn(target.PeerAddress)
	if err != nil {
		return nil, err
	}
	if s := connection.GetState(); s != connectivity.Ready {
		connection.Connect()
		return nil, errkind.New(errkind.PeerUnreachable, "connection to node %s is in state %v", target.ID, s)
	}
	ctx, cancel := context.WithCancel(ctx)
	// The node runs nothing before it has received the message, which a stream that was not
	// established has not carried.
	clientStream, err := connection.NewStream(declareBody(ctx, call.Body), &meshpb.Mesh_ServiceDesc.Streams[0], meshpb.Mesh_Relay_FullMethodName)
	if err != nil {
		cancel()
		return nil, errkind.New(errkind.PeerUnreachable, "no stream to node %s: %w", target.ID, err)
	}
	stream := &grpc.GenericClientStream[meshpb.RelayRequest, meshpb.RelayFrame]{ClientStream: clientStream}
	if err := sendOnly(clientStream, requestToWire(c.self, call, c.now())); err != nil {
		cancel()
		return nil, streamError(target, err)
	}
	frame, err := stream.Recv()
	if err != nil {
		cancel()
		return nil, streamError(target, err)
	}
	head := frame.GetHead()
	if head == nil {
		cancel()
		if end := frame.GetEnd(); end.GetErrorKind() != "" {
			return nil, endFromWire(end)
		}
		return nil, errkind.New(errkind.PeerLost, "node %s sent no head frame", target.ID)
	}
	if !relay.ValidStatus(int(head.GetStatus())) {
		cancel()
		return nil, errkind.New(errkind.PeerLost, "node %s passed on an answer with status %03d, which is none", target.ID, head.GetStatus())
	}
	return &remoteResponse{stream: stream, cancel: cancel, target: target, sent: int(head.GetSent()), head: relay.Head{
		Status: int(head.GetStatus()), Header: headerFromWire(head.GetHeader()), ContentLength: head.GetContentLength(),
		Framing: relay.FramedByNode, RequestID: call.ID, Signed: true, RanAt: domain.UpstreamID(head.GetRanAt()), Software: head.GetSoftware(),
	}}, nil
}

// sendOnly sends the only message of a stream.
func sendOnly(stream grpc.ClientStream, message any) error {
	if err := stream.SendMsg(message); err != nil {
		return err
	}
	return stream.CloseSend()
}

// streamError returns the error for a failed relay to a node.
func streamError(target *peers.Member, err error) error {
	if status.Code(err) == codes.Unimplemented {
		return errkind.New(errkind.PeerUnreachable, "node %s: %w", target.ID, err)
	}
	return errkind.New(errkind.PeerLost, "node %s: %w", target.ID, err)
}

// remoteResponse is a response received through another node, which has validated
// its head. It implements relay.Answer.
type remoteResponse struct {
	stream grpc.ServerStreamingClient[meshpb.RelayFrame]
	cancel context.CancelFunc
	target *peers.Member
	head   relay.Head
	sent   int
}

func (r *remoteResponse) SendCount() int { return max(1, r.sent) }

func (r *remoteResponse) Head() relay.Head { return r.head }

func (r *remoteResponse) ReportedLoad() instances.ReportedLoad { return instances.ReportedLoad{} }

func (r *remoteResponse) Next() ([]byte, error) {
	frame, err := r.stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil, errkind.New(errkind.Truncated, "the stream from node %s ended without an end frame", r.target.ID)
	}
	if err != nil {
		return nil, streamError(r.target, err)
	}
	if end := frame.GetEnd(); end != nil {
		r.sent = int(end.GetSent())
		if end.GetErrorKind() == "" {
			return nil, io.EOF
		}
		return nil, endFromWire(end)
	}
	return frame.GetChunk(), nil
}

func (r *remoteResponse) Close() { r.cancel() }
