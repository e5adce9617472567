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
	// maxMessage is above the largest request body that deployments allow, 4 MiB.
	maxMessage = 6 << 20 // bytes
	// streamWindow and connectionWindow let 140 Mbit/s flow over a round trip
	// of 110 ms.
	streamWindow     = 256 << 10 // bytes
	connectionWindow = 2 << 20   // bytes
	// dialTimeout bounds the set-up of a connection: three round trips between
	// regions and one lost packet.
	dialTimeout = 1500 * time.Millisecond
	// replaceAfter is the number of exchanges in a row without an answer after
	// which a connection counts as silent.
	replaceAfter = 3
)

// Client calls other nodes. It implements relay.Nodes.
type Client struct {
	self  domain.NodeID
	creds credentials.TransportCredentials
	dial  func(ctx context.Context, address string) (net.Conn, error)
	now   func() time.Time

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	*grpc.ClientConn
	failures int
}

// NewClient returns a client of the node self.
func NewClient(self domain.NodeID, creds credentials.TransportCredentials, dial func(context.Context, string) (net.Conn, error), now func() time.Time) *Client {
	return &Client{self: self, creds: creds, dial: dial, now: now, conns: make(map[string]*conn)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cn := range c.conns {
		_ = cn.Close() // it fails only on connections that are closed already
		delete(c.conns, address)
	}
}

func (c *Client) conn(address string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn := c.conns[address]; cn != nil {
		return cn, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "connection to %s: %w", address, err)
	}
	cn := &conn{ClientConn: cc}
	c.conns[address] = cn
	return cn, nil
}

// Forget closes the connections to addresses that no member has.
func (c *Client) Forget(known []peers.Member) {
	keep := make(map[string]bool, len(known))
	for _, m := range known {
		keep[m.PeerAddress] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cn := range c.conns {
		if !keep[address] {
			_ = cn.Close() // it fails only on connections that are closed already
			delete(c.conns, address)
		}
	}
}

// settle counts an exchange's outcome; a connection that is silent is replaced.
func (c *Client) settle(address string, cn *conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		cn.failures = 0
		return
	}
	cn.failures++
	if cn.failures >= replaceAfter && c.conns[address] == cn {
		_ = cn.Close() // it fails only on connections that are closed already
		delete(c.conns, address)
	}
}

// Exchange tells a node the own word and returns its word and the round trip.
func (c *Client) Exchange(ctx context.Context, address string, w Word) (Word, time.Duration, error) {
	cn, err := c.conn(address)
	if err != nil {
		return Word{}, 0, err
	}
	start := c.now()
	reply, err := meshpb.NewMeshClient(cn).Exchange(ctx, wordToWire(w))
	c.settle(address, cn, err)
	if err != nil {
		return Word{}, 0, errkind.New(errkind.PeerUnreachable, "exchange with %s: %w", address, err)
	}
	return wordFromWire(reply), c.now().Sub(start), nil
}

// Tell notes at another node of the region what nodes sent to upstreams; passOn
// asks it to tell the other nodes of its failure domain.
func (c *Client) Tell(ctx context.Context, address string, notices []instances.Notice, passOn bool) error {
	cn, err := c.conn(address)
	if err != nil {
		return err
	}
	if _, err := meshpb.NewMeshClient(cn).Tell(ctx, &meshpb.TellRequest{Prompts: noticesToWire(notices), PassOn: passOn}); err != nil {
		return errkind.New(errkind.PeerUnreachable, "tell %s: %w", address, err)
	}
	return nil
}

// OperatorDocuments are the operator's documents as another node knows them.
type OperatorDocuments struct {
	// Known is how far the node knows them; zero if it does not.
	Known Position
	// Table is packed; it is empty if the node holds nothing newer than asked for.
	Table     []byte
	Evacuated []domain.FailureDomain
}

// Entries are the upstreams' entries as another node knows them.
type Entries struct {
	// Known is how far the node knows them; zero if it does not.
	Known Position
	// Values are as the store held them, by key.
	Values map[string][]byte
}

// FetchOperator asks a node for the operator's documents.
func (c *Client) FetchOperator(ctx context.Context, address string, tableNewerThan uint64) (OperatorDocuments, error) {
	reply, err := c.fetch(ctx, address, &meshpb.FetchRequest{TableNewerThan: tableNewerThan})
	if err != nil {
		return OperatorDocuments{}, err
	}
	d := OperatorDocuments{Known: positionFromWire(reply.GetOperator()), Table: reply.GetTable()}
	for _, fd := range reply.GetEvacuated() {
		d.Evacuated = append(d.Evacuated, domain.FailureDomain(fd))
	}
	return d, nil
}

// FetchEntries asks a node for the upstreams' entries.
func (c *Client) FetchEntries(ctx context.Context, address string) (Entries, error) {
	reply, err := c.fetch(ctx, address, &meshpb.FetchRequest{Instances: true})
	if err != nil {
		return Entries{}, err
	}
	e := Entries{Known: positionFromWire(reply.GetEntries()), Values: make(map[string][]byte, len(reply.GetInstances()))}
	for _, doc := range reply.GetInstances() {
		e.Values[doc.GetKey()] = doc.GetValue()
	}
	return e, nil
}

func (c *Client) fetch(ctx context.Context, address string, request *meshpb.FetchRequest) (*meshpb.FetchReply, error) {
	cn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := meshpb.NewMeshClient(cn).Fetch(ctx, request)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "fetch from %s: %w", address, err)
	}
	return reply, nil
}

// Connected implements relay.Nodes.
func (c *Client) Connected(to *peers.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn := c.conns[to.PeerAddress]
	return cn != nil && cn.GetState() == connectivity.Ready
}

// Relay implements relay.Nodes. A request leaves only over a connection that is
// up, so that an unreachable node is known not to have run it.
func (c *Client) Relay(ctx context.Context, to *peers.Member, call *relay.Call) (relay.Answer, error) {
	cn, err := c.conn(to.PeerAddress)
	if err != nil {
		return nil, err
	}
	if s := cn.GetState(); s != connectivity.Ready {
		cn.Connect()
		return nil, errkind.New(errkind.PeerUnreachable, "connection to node %s is %v", to.ID, s)
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := meshpb.NewMeshClient(cn).Relay(ctx, callToWire(c.self, call, c.now()))
	if err != nil {
		cancel()
		return nil, lost(to, err)
	}
	frame, err := stream.Recv()
	if err != nil {
		cancel()
		return nil, lost(to, err)
	}
	head := frame.GetHead()
	if head == nil {
		cancel()
		if end := frame.GetEnd(); end.GetErrorKind() != "" {
			return nil, endFromWire(end)
		}
		return nil, errkind.New(errkind.PeerLost, "node %s sent no head", to.ID)
	}
	return &remoteAnswer{stream: stream, cancel: cancel, to: to, sent: int(head.GetSent()), head: relay.Head{
		Status: int(head.GetStatus()), Header: headerFromWire(head.GetHeader()), ContentLength: head.GetContentLength(),
		RequestID: call.ID, Sealed: true, RanAt: domain.UpstreamID(head.GetRanAt()),
	}}, nil
}

func lost(to *peers.Member, err error) error {
	if status.Code(err) == codes.Unimplemented {
		return errkind.New(errkind.PeerUnreachable, "node %s: %w", to.ID, err)
	}
	return errkind.New(errkind.PeerLost, "node %s: %w", to.ID, err)
}

// remoteAnswer is an answer that comes through another node, which has checked
// its head.
type remoteAnswer struct {
	stream grpc.ServerStreamingClient[meshpb.RelayFrame]
	cancel context.CancelFunc
	to     *peers.Member
	head   relay.Head
	sent   int
}

func (r *remoteAnswer) Sent() int { return max(1, r.sent) }

func (r *remoteAnswer) Head() relay.Head { return r.head }

func (r *remoteAnswer) Reading() instances.Reading { return instances.Reading{} }

func (r *remoteAnswer) Next() ([]byte, error) {
	frame, err := r.stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil, errkind.New(errkind.Truncated, "node %s ended without an end frame", r.to.ID)
	}
	if err != nil {
		return nil, lost(r.to, err)
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

func (r *remoteAnswer) Close() { r.cancel() }
