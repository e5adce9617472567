package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a server. While it is cut it holds all bytes, ends of
// connections and new connections, as a partition does: they go on when the cut has healed.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed unless the proxy is cut
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, healed: make(chan struct{})}
	close(p.healed)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

func (p *proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			p.await()
			server, err := net.DialTimeout("tcp", p.target, time.Second)
			if err != nil {
				_ = conn.(*net.TCPConn).SetLinger(0) // a port without a listener resets the connection
				_ = conn.Close()
				return
			}
			go p.copy(server.(*net.TCPConn), conn.(*net.TCPConn))
			p.copy(conn.(*net.TCPConn), server.(*net.TCPConn))
			_ = server.Close()
			_ = conn.Close()
		}()
	}
}

// copy forwards one direction. An end is forwarded as an end, a reset as a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			_ = to.CloseWrite()
		} else {
			_ = to.SetLinger(0)
			_ = to.Close()
		}
		return
	}
}
