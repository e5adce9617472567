package edgenode

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/streams"
)

const (
	// softwareCheckTimeout limits a question to the store for the versions of a service.
	softwareCheckTimeout = 300 * time.Millisecond
	// softwareCheckInterval is the minimum time between the beginnings of two such questions of a node for a service.
	softwareCheckInterval = 100 * time.Millisecond
	// softwareCheckWait is how long the store may hold the read of the entries that changed.
	softwareCheckWait = 10 * time.Millisecond
)

// softwareChecks asks the store for the versions of services. What it says covers everything that was written before the
// question, whatever this node has missed.
type softwareChecks struct {
	node *Node

	mu sync.Mutex
	// waiting holds the question, by service, that begins next, and lastAt when the last one began.
	waiting map[string]*softwareCheck
	lastAt  map[string]time.Time
}

// softwareCheck is a question to the store that several requests may wait for.
type softwareCheck struct {
	done     chan struct{}
	versions []string
	err      error
}

func newSoftwareChecks(n *Node) *softwareChecks {
	return &softwareChecks{node: n, waiting: make(map[string]*softwareCheck), lastAt: make(map[string]time.Time)}
}

// versions returns the versions of a service that are registered or were within streams.Retention, by a question that
// begins after the call.
func (c *softwareChecks) versions(ctx context.Context, service string) ([]string, error) {
	check := c.join(service)
	select {
	case <-check.done:
		return check.versions, check.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the store: %w", context.Cause(ctx))
	}
}

// join returns the question that begins next.
func (c *softwareChecks) join(service string) *softwareCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if check := c.waiting[service]; check != nil {
		return check
	}
	check := &softwareCheck{done: make(chan struct{})}
	c.waiting[service] = check
	time.AfterFunc(time.Until(c.lastAt[service].Add(softwareCheckInterval)), func() {
		defer close(check.done)
		c.begin(service)
		check.versions, check.err = c.ask(service)
	})
	return check
}

// begin records that the question begins: later requests wait for another one.
func (c *softwareChecks) begin(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, service)
	c.lastAt[service] = time.Now()
}

// ask returns the versions that this node knows, those of entries that changed since, and the recorded ones.
func (c *softwareChecks) ask(service string) ([]string, error) {
	ctx, cancel := context.WithTimeout(c.node.requests, softwareCheckTimeout)
	defer cancel()
	c.node.metrics.Count("streams.software_checks", 1)
	_, entries := c.node.state.positions() // before the versions, which include what is applied up to it
	if entries.at.IsZero() {
		return nil, errkind.New(errkind.ListsUnavailable, "the node has not read the entries of upstreams")
	}
	versions := c.node.catalog.Pool(service).SoftwareVersions(time.Now(), streams.Retention)
	changes, _, err := c.node.deps.Store.Watch(ctx, c.node.deps.Documents.InstancePrefix(), entries.at, softwareCheckWait)
	if err != nil {
		return nil, fmt.Errorf("read changed entries: %w", err)
	}
	for _, i := range changes {
		if i.Removed {
			continue
		}
		if in, err := c.node.deps.Documents.DecodeInstance(i.Key, i.Value); err == nil && in.Service == service {
			versions = append(versions, in.Software)
		} // an invalid entry names no upstream; the watcher logs it
	}
	item, err := c.node.deps.Store.Get(ctx, c.node.deps.Documents.SoftwarePrefix()+service)
	if err != nil {
		return nil, fmt.Errorf("read recorded versions: %w", err)
	}
	recorded, err := decodeSoftwareRecord(item)
	if err != nil {
		return nil, err
	}
	versions = append(versions, recorded...)
	slices.Sort(versions)
	return slices.Compact(versions), nil
}
