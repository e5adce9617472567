package edgenode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/streams"
)

const (
	// softwareRecordInterval is the time between two comparisons of the recorded versions with the present ones.
	softwareRecordInterval = time.Second
	// readSoftwareInterval is the time between two attempts of a starting node to read the records.
	readSoftwareInterval = 300 * time.Millisecond
)

// softwareRecords keeps a record of the versions of each service's software in the store, for nodes that start when no
// other one remembers which versions served a moment before. It is written when the versions change.
type softwareRecords struct {
	node *Node

	mu sync.Mutex
	// former holds the versions, by service, that were recorded when this node started; nil until they have been read.
	former map[string][]string
	// recorded holds the versions that this node last found or wrote, and missing when a recorded version was first
	// found not to be registered.
	recorded map[string][]string
	missing  map[string]time.Time
}

// softwareRecord is the record of a service in the store.
type softwareRecord struct {
	Versions []string `json:"versions"`
}

func newSoftwareRecords(n *Node) *softwareRecords {
	return &softwareRecords{node: n, recorded: make(map[string][]string), missing: make(map[string]time.Time)}
}

// formerVersions returns the versions of a service that were recorded when this node started; known is false until they have
// been read.
func (r *softwareRecords) formerVersions(service string) (versions []string, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.former[service], r.former != nil
}

// run reads the records and keeps them up to date until ctx ends.
func (r *softwareRecords) run(ctx context.Context) {
	for ctx.Err() == nil && !r.read(ctx) {
		sleep(ctx, readSoftwareInterval)
	}
	for ctx.Err() == nil {
		sleep(ctx, jitter(softwareRecordInterval))
		if !r.node.isReader() {
			continue
		}
		for _, service := range r.resumableServices() {
			if err := r.update(ctx, service); err != nil {
				r.node.log.Log(event.PlatformFailed, event.F("call", "record software versions"), event.F("service", service), event.F("error", err))
			}
		}
	}
}

// read reads the records, and with them that of what is held. It returns false if that failed.
func (r *softwareRecords) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix := r.node.deps.Documents.SoftwarePrefix()
	items, at, err := r.node.deps.Store.Range(ctx, prefix)
	r.node.health.recordOutcome(ctx, "read software versions", err)
	if err != nil {
		return false
	}
	isHeld := func(i ports.Item) bool { return i.Key == r.node.deps.Documents.HeldKey() }
	var held ports.Item
	if i := slices.IndexFunc(items, isHeld); i >= 0 {
		held = items[i]
	}
	r.node.held.load(held, at.Era)
	former := make(map[string][]string, len(items))
	for _, i := range slices.DeleteFunc(items, isHeld) {
		versions, err := decodeSoftwareRecord(i)
		if err != nil {
			r.node.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
			return false // it is not known which versions served
		}
		former[strings.TrimPrefix(i.Key, prefix)] = versions
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.former = former
	return true
}

func decodeSoftwareRecord(i ports.Item) ([]string, error) {
	if i.Revision == 0 {
		return nil, nil // there is no record
	}
	var record softwareRecord
	if err := json.Unmarshal(i.Value, &record); err != nil {
		return nil, fmt.Errorf("decode record %s: %w", i.Key, err)
	}
	return record.Versions, nil
}

// resumableServices returns the services whose streams callers may take up.
func (r *softwareRecords) resumableServices() []string {
	t := r.node.state.table.Load()
	if t == nil {
		return nil
	}
	var list []string
	for _, route := range t.Routes {
		if !route.Resumable {
			continue
		}
		for _, s := range route.Split {
			if !slices.Contains(list, s.Service) {
				list = append(list, s.Service)
			}
		}
	}
	return list
}

// update writes the record of a service if it differs from the versions that are registered, or were a moment before.
func (r *softwareRecords) update(ctx context.Context, service string) error {
	now := time.Now()
	present := r.node.catalog.Pool(service).SoftwareVersions(now, streams.Retention)
	slices.Sort(present)
	if len(present) == 0 || slices.Equal(present, r.recorded[service]) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := r.node.deps.Documents.SoftwarePrefix() + service
	item, err := r.node.deps.Store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("get %s: %w", key, err)
	}
	recorded, err := decodeSoftwareRecord(item)
	if err != nil {
		return err // another writer's; it is not replaced
	}
	wanted := r.withRetained(now, service, present, recorded)
	if !slices.Equal(wanted, recorded) {
		text, err := json.Marshal(softwareRecord{Versions: wanted})
		if err != nil {
			return fmt.Errorf("encode record %s: %w", key, err)
		}
		if _, err = r.node.deps.Store.Put(ctx, key, text, ports.Lease{}, item.Revision); errors.Is(err, errkind.Of(errkind.Conflict)) {
			return nil // another node has written it; it is compared again
		} else if err != nil {
			return fmt.Errorf("put %s: %w", key, err)
		}
	}
	r.recorded[service] = wanted
	return nil
}

// withRetained returns the present versions and those recorded ones that have not been missing for long: another node may know
// of an upstream that this one does not know yet.
func (r *softwareRecords) withRetained(now time.Time, service string, present, recorded []string) []string {
	wanted := slices.Clone(present)
	for _, version := range recorded {
		key := service + "\n" + version
		if slices.Contains(present, version) {
			delete(r.missing, key)
			continue
		}
		if _, known := r.missing[key]; !known {
			r.missing[key] = now
		}
		if now.Sub(r.missing[key]) < streams.Retention {
			wanted = append(wanted, version)
		}
	}
	slices.Sort(wanted)
	return wanted
}
