package faulttest

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pathMode is what happens to a node's connections to all upstreams.
type pathMode int32

const (
	pathSound pathMode = iota
	// pathHangs drops the bytes of both directions; connection attempts time out.
	pathHangs
	// pathReset resets open connections and refuses new ones.
	pathReset
	// pathRefusesNew leaves open connections alone and refuses new ones.
	pathRefusesNew
)

// pathGate decides on the connections that a node's processes open. They have a seccomp filter
// that hands each connect call to the test: a proxy could not make an attempt fail, since the
// kernel establishes connections before they are accepted.
type pathGate struct {
	name       string // of the abstract Unix socket on which the filters arrive
	mode       atomic.Int32
	isUpstream func(port int) bool
}

// pathGateCommand is the first argument with which the test binary runs gated.
const pathGateCommand = "run-gated"

func newPathGate(t *testing.T, name string, isUpstream func(port int) bool) *pathGate {
	g := &pathGate{name: "@" + name, isUpstream: isUpstream}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: g.name, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.AcceptUnix()
			if err != nil {
				return
			}
			go g.receive(conn)
		}
	}()
	return g
}

// command returns the beginning of a command that runs the rest with the gate.
func (g *pathGate) command(t *testing.T) []string {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{self, pathGateCommand, g.name}
}

// runGated replaces this process by a command whose connect calls the gate decides on.
func runGated(gate string, command []string) error {
	runtime.LockOSThread() // a filter belongs to a thread
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: gate, Net: "unix"})
	if err != nil {
		return err
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}, // the number of the system call
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: unix.SYS_CONNECT},
		{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF},
		{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return errno
	}
	if _, _, err := conn.WriteMsgUnix([]byte{0}, unix.UnixRights(int(fd)), nil); err != nil {
		return err
	}
	return syscall.Exec(command[0], command, os.Environ())
}

// receive receives a filter and decides on the calls that it hands over.
func (g *pathGate) receive(conn *net.UnixConn) {
	defer conn.Close()
	oob := make([]byte, unix.CmsgSpace(4))
	if _, _, _, _, err := conn.ReadMsgUnix(make([]byte, 1), oob); err != nil {
		return
	}
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return
	}
	defer unix.Close(fds[0])
	for {
		poll := []unix.PollFd{{Fd: int32(fds[0]), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, -1); err != nil && err != unix.EINTR {
			return
		}
		if poll[0].Revents&unix.POLLIN != 0 {
			g.decide(uintptr(fds[0]))
		} else if poll[0].Revents != 0 {
			return // the process has exited
		}
	}
}

// seccompCall and seccompAnswer are the kernel's seccomp_notif and seccomp_notif_resp.
type seccompCall struct {
	id         uint64
	pid, flags uint32
	number     int32
	arch       uint32
	ip         uint64
	args       [6]uint64
}

type seccompAnswer struct {
	id           uint64
	value        int64
	error, flags int32
}

// decide decides on one call. The ioctls fail if the caller was interrupted; it calls again.
func (g *pathGate) decide(fd uintptr) {
	var call seccompCall
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, fd, unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&call))); errno != 0 {
		return
	}
	answer := seccompAnswer{id: call.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if mode := pathMode(g.mode.Load()); mode != pathSound && g.isUpstream(portArgument(&call)) {
		answer.flags, answer.error = 0, -int32(unix.ECONNREFUSED)
		if mode == pathHangs {
			answer.error = -int32(unix.EINPROGRESS) // and nothing follows
		}
	}
	_, _, _ = unix.Syscall(unix.SYS_IOCTL, fd, unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&answer)))
}

// portArgument returns the port to which a call connects; 0 if that is not one of IPv4.
func portArgument(call *seccompCall) int {
	var address unix.RawSockaddrInet4
	text := unsafe.Slice((*byte)(unsafe.Pointer(&address)), unix.SizeofSockaddrInet4)
	local := unix.Iovec{Base: &text[0]}
	local.SetLen(len(text))
	remote := []unix.RemoteIovec{{Base: uintptr(call.args[1]), Len: len(text)}}
	if n, err := unix.ProcessVMReadv(int(call.pid), []unix.Iovec{local}, remote, 0); err != nil || n < len(text) || address.Family != unix.AF_INET {
		return 0
	}
	return int(text[2])<<8 | int(text[3])
}

// portPair is the local and the remote port of a connection on the loopback interface.
type portPair struct{ local, remote int }

// connections adds the TCP connections of a process.
func (p *process) connections(to map[portPair]struct{}) {
	directory := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	table, err := os.ReadFile(directory + "net/tcp")
	if err != nil {
		return // it has exited
	}
	sockets := make(map[string]struct{})
	links, _ := filepath.Glob(directory + "fd/*") // the pattern is valid
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil {
			sockets[target] = struct{}{}
		}
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 {
			continue
		}
		if _, found := sockets["socket:["+fields[9]+"]"]; found {
			to[portPair{hexPort(fields[1]), hexPort(fields[2])}] = struct{}{}
		}
	}
}

func hexPort(address string) int {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.ParseUint(port, 16, 16) // 0 for the heading
	return int(n)
}

// pathCutDelay is how long connection attempts that were allowed before a cut may take.
const pathCutDelay = 30 * time.Millisecond

// cutPaths cuts the paths of nodes to all upstreams.
func (d *soakDeployment) cutPaths(mode pathMode, nodes ...*soakNode) {
	for _, n := range nodes {
		n.gate.mode.Store(int32(mode))
	}
	time.Sleep(pathCutDelay)
	switch mode {
	case pathHangs:
		d.onConnections(nodes, (*faultProxy).blackholeWhere)
	case pathReset:
		d.onConnections(nodes, (*faultProxy).resetWhere)
	}
}

// restorePaths ends the cut of nodes. What connections that hung have lost does not come again.
func (d *soakDeployment) restorePaths(nodes ...*soakNode) {
	var hung []*soakNode
	for _, n := range nodes {
		if pathMode(n.gate.mode.Swap(int32(pathSound))) == pathHangs {
			hung = append(hung, n)
		}
	}
	d.onConnections(hung, func(p *faultProxy, match func(*proxiedConn) bool) {
		p.resetWhere(func(c *proxiedConn) bool { return linkMode(c.mode.Load()) == linkBlackhole && match(c) })
	})
}

// onConnections calls f for each upstream's proxy, with a function that matches connections of
// the nodes.
func (d *soakDeployment) onConnections(nodes []*soakNode, f func(p *faultProxy, match func(*proxiedConn) bool)) {
	if len(nodes) == 0 {
		return
	}
	owned := make(map[portPair]struct{})
	for _, n := range nodes {
		n.process().connections(owned)
	}
	for _, u := range d.allUpstreams() {
		f(u.proxy, func(c *proxiedConn) bool {
			_, found := owned[portPair{portOf(c.client.RemoteAddr()), portOf(c.client.LocalAddr())}]
			return found
		})
	}
}

func portOf(a net.Addr) int { return a.(*net.TCPAddr).Port }
