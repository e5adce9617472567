package connlimit

import "syscall"

const (
	// fileDescriptors is the number of descriptors that are not for connections: files, the
	// listeners and the runtime's own.
	fileDescriptors = 200
	// controlFraction is the part of the descriptors for connections that callers and requests
	// cannot take: for the store, for connections to other nodes and for health checks. maxControl
	// is enough for connections to 330 nodes.
	controlFraction = 0.25
	maxControl      = 512
	// requestFraction is the part of the remaining descriptors that connections to upstreams, and so
	// requests in flight, have in any case; the rest is for accepted connections.
	requestFraction = 1.0 / 3
	// requestMemory is the part of the memory for requests in flight.
	requestMemory = 0.5
	// addressFraction is the part of a listener's connections that one IP address may have. It is
	// large since many callers may share an address.
	addressFraction = 0.75
	// connectionMemory is the part of the memory for accepted connections that are idle, and
	// bytesPerConnection what each takes.
	connectionMemory   = 0.125
	bytesPerConnection = 8 << 10
	// headFraction is the part of the memory for the bytes of all unfinished heads; their
	// decoded form takes a multiple.
	headFraction = 1.0 / 32
	// defaultDescriptors is the number of descriptors if the process has no limit, defaultMemory the
	// memory if that of the machine is not known.
	defaultDescriptors = 4096
	defaultMemory      = 1 << 30 // bytes
)

// Shares divides the descriptors and the memory of a process.
type Shares struct {
	// Sockets is the number of accepted connections and requests in flight together; each request
	// may have a connection to an upstream.
	Sockets int
	// Accepted is the maximum number of accepted connections, Requests the number of requests in
	// flight that there is room for beside them.
	Accepted, Requests int
	// MemoryRequests is the number of requests in flight for which there is memory.
	MemoryRequests int
	// HeadBytes is the size of all unfinished heads.
	HeadBytes int64
}

// Divide divides the descriptors and the memory of a process; bytesPerRequest is what a request in
// flight takes. Without a number of descriptors the limit of the process applies.
func Divide(descriptors int, memoryBytes, bytesPerRequest int64) Shares {
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	sockets := max(0, descriptors-fileDescriptors)
	rest := float64(sockets - min(int(controlFraction*float64(sockets)), maxControl))
	memory := float64(memoryBytes)
	byMemory := int(requestMemory*memory) / int(bytesPerRequest)
	return Shares{
		Sockets:        int(rest),
		Accepted:       min(int((1-requestFraction)*rest), int(connectionMemory*memory)/bytesPerConnection),
		Requests:       min(int(requestFraction*rest), byMemory),
		MemoryRequests: byMemory,
		HeadBytes:      int64(headFraction * memory),
	}
}

// processDescriptors returns the limit of the process for descriptors.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}

// Listener returns the limits for the number of connections of a listener that has a part of the
// accepted ones.
func (s Shares) Listener(name string, fraction float64) Limits {
	connections := max(1, int(fraction*float64(s.Accepted)))
	return Limits{Name: name, MaxConnections: connections, MaxPerAddress: max(1, int(addressFraction*float64(connections)))}
}
