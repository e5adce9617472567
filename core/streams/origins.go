// Package streams remembers which version of an upstream's software began each stream. What two versions write does
// not fit together, so that a stream which a caller takes up may go on only at an upstream of the version that began it.
package streams

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// Retention is the longest time after the beginning of a stream for which its version matters: callers take up
	// streams within their deadlines.
	Retention = 10 * time.Second
	// maxOrigins is the maximum number of streams that are remembered for each Retention.
	maxOrigins = 1 << 14
)

// Origin is the beginning of a stream.
type Origin struct {
	// Request is the request whose answer had the first event.
	Request domain.RequestID
	Service string
	// Software is the version of the software of the upstream that began it.
	Software string
	// Age is the time since then, at most Retention.
	Age time.Duration
}

// Origins holds the origins of recent streams. It is safe for concurrent use.
type Origins struct {
	mu sync.Mutex
	// recent and former hold origins by request; after each Retention recent becomes former.
	recent, former map[domain.RequestID]record
	rotatedAt      time.Time
	// unshared lists the streams that began here and of which no other node knows, by service, oldest first.
	unshared map[string][]domain.RequestID
}

type record struct {
	service, software string
	beganAt           time.Time
}

// NewOrigins returns an empty Origins.
func NewOrigins() *Origins {
	return &Origins{recent: make(map[domain.RequestID]record), unshared: make(map[string][]domain.RequestID)}
}

// Record records the beginning of a stream at this node.
func (o *Origins) Record(now time.Time, s Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.put(now, s) {
		o.unshared[s.Service] = append(o.unshared[s.Service], s.Request)
	}
}

// Merge records the beginnings of streams at another node.
func (o *Origins) Merge(now time.Time, list []Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range list {
		o.put(now, s)
	}
}

// put adds an origin. It returns false if there is no room for it.
func (o *Origins) put(now time.Time, s Origin) bool {
	if now.Sub(o.rotatedAt) >= Retention {
		o.former, o.recent, o.rotatedAt = o.recent, make(map[domain.RequestID]record), now
	}
	if len(o.recent) >= maxOrigins {
		return false
	}
	o.recent[s.Request] = record{s.Service, s.Software, now.Add(-s.Age)}
	return true
}

// Find returns the version of the software that began a stream of a service.
func (o *Origins) Find(now time.Time, service string, request domain.RequestID) (software string, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, found := o.find(now, request)
	return r.software, found && r.service == service
}

func (o *Origins) find(now time.Time, request domain.RequestID) (record, bool) {
	r, found := o.recent[request]
	if !found {
		r, found = o.former[request]
	}
	return r, found && now.Sub(r.beganAt) < Retention
}

// TakeUnshared returns the streams that began here, of which no other node knows, and of whose services shared
// returns true. Those of other services are kept until they are too old.
func (o *Origins) TakeUnshared(now time.Time, shared func(service string) bool) []Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []Origin
	for service, requests := range o.unshared {
		if !shared(service) {
			o.dropOld(now, service)
			continue
		}
		for _, id := range requests {
			if r, found := o.find(now, id); found {
				list = append(list, Origin{Request: id, Service: service, Software: r.software, Age: now.Sub(r.beganAt)})
			}
		}
		delete(o.unshared, service)
	}
	return list
}

// dropOld drops the unshared streams of a service that are too old.
func (o *Origins) dropOld(now time.Time, service string) {
	requests := o.unshared[service]
	old := 0
	for old < len(requests) {
		if _, found := o.find(now, requests[old]); found {
			break
		}
		old++
	}
	if old > 0 {
		o.unshared[service] = slices.Clone(requests[old:])
	}
}
