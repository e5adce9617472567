package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
)

const (
	poolShards = 16
	// connectionMaxAge is the age at which a connection is retired, so that none
	// remains in use after an intermediary has lost its state.
	connectionMaxAge = 10 * time.Minute
	// keepalivePing is the ping interval, the shortest that gRPC allows a client.
	// keepaliveTimeout is the timeout for the response.
	keepalivePing    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// streamWindow and connectionWindow are the flow-control windows of a stream and a
	// connection. gRPC's default for a connection, 64 KiB, limits the throughput to
	// 5 Mbit/s at a round-trip time of 110 ms.
	streamWindow     = 1 << 20 // bytes
	connectionWindow = 8 << 20 // bytes
	// maxMessage is the maximum message size. It exceeds the largest event of an
	// engine, 4 MiB, which is sent as one frame.
	maxMessage = 8 << 20 // bytes
)

// pool holds one connection per peer address. A retired connection accepts no new
// streams and is closed after its last stream.
type pool struct {
	creds  credentials.TransportCredentials
	dialer DialFunc
	now    func() time.Time
	shards [poolShards]poolShard
}

type poolShard struct {
	mu    sync.Mutex
	conns map[string]*pooledConn
}

type pooledConn struct {
	*grpc.ClientConn
	address   string
	createdAt time.Time
	// users and retired are guarded by the shard's lock.
	users   int
	retired bool
}

// DialFunc opens a connection to a host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func newPool(creds credentials.TransportCredentials, dialer DialFunc, now func() time.Time) *pool {
	p := &pool{creds: creds, dialer: dialer, now: now}
	for i := range p.shards {
		p.shards[i].conns = make(map[string]*pooledConn)
	}
	return p
}

func (p *pool) shard(address string) *poolShard {
	return &p.shards[xxhash.Sum64String(address)%poolShards]
}

// acquire returns a connection to address, which must be released after use.
func (p *pool) acquire(address string) (*pooledConn, error) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[address]
	if c != nil && p.now().Sub(c.createdAt) > connectionMaxAge {
		s.retireLocked(c)
		c = nil
	}
	if c == nil {
		dialed, err := p.dial(address)
		if err != nil {
			return nil, err
		}
		c = dialed
		s.conns[address] = c
	}
	c.users++
	return c, nil
}

func (p *pool) dial(address string) (*pooledConn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePing, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
	}
	if p.dialer != nil {
		options = append(options, grpc.WithContextDialer(p.dialer))
	}
	cc, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	return &pooledConn{ClientConn: cc, address: address, createdAt: p.now()}, nil
}

// release returns a connection to the pool.
func (p *pool) release(c *pooledConn) {
	s := p.shard(c.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.users--
	if c.retired && c.users == 0 {
		c.Close()
	}
}

// retire removes a connection from the pool; the next acquire dials a new one.
func (p *pool) retire(c *pooledConn) {
	s := p.shard(c.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retireLocked(c)
}

func (s *poolShard) retireLocked(c *pooledConn) {
	if c.retired {
		return
	}
	c.retired = true
	if s.conns[c.address] == c {
		delete(s.conns, c.address)
	}
	if c.users == 0 {
		c.Close()
	}
}

// close closes all connections.
func (p *pool) close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, c := range s.conns {
			c.retired = true
			c.Close()
		}
		clear(s.conns)
		s.mu.Unlock()
	}
}
