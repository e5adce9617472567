package faulttest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
)

// streamFault is a case of the test for complete streamed responses.
type streamFault struct {
	name string
	// before injects a fault before the request, during after some events have arrived.
	before, during func(d *deployment)
	// slowReader makes the caller pause before each event.
	slowReader bool
	// entry is the entry node and key the bearer key. Together they determine whether
	// the request is forwarded: "key-south" at north-1 is.
	entry, key string
	// mayTruncate is set if no process that has the generation remains reachable, so
	// that the response can't be completed.
	mayTruncate bool
}

const (
	northEngine = "engine-north-1"
	southEngine = "engine-south-1"
)

func engineFault(id string, mode faults.Mode, after uint64, times int) func(*deployment) {
	return func(d *deployment) {
		d.setUpstreamFaults(id, faults.Fault{Mode: mode, AfterEvents: after, MaxRequests: times})
	}
}

// sequence returns a function that injects all the given faults in order.
func sequence(all ...func(*deployment)) func(*deployment) {
	return func(d *deployment) {
		for _, inject := range all {
			inject(d)
		}
	}
}

func streamFaults() []streamFault {
	blackholePeer := func(d *deployment) { d.nodes["south-1"].peerProxy.blackholeOpen() }
	closePeer := func(d *deployment) { d.nodes["south-1"].peerProxy.closeOpen() }
	blackholeEngine := func(d *deployment) { d.upstreams[northEngine].proxy.blackholeOpen() }
	return []streamFault{
		{name: "no fault", entry: "north-1", key: "key-north"},
		{name: "no fault, forwarded", entry: "north-1", key: "key-south"},
		{name: "engine closes mid-stream", entry: "north-1", key: "key-north", before: engineFault(northEngine, faults.CloseMidResponse, 7, 1)},
		{name: "engine closes twice", entry: "north-1", key: "key-north", before: engineFault(northEngine, faults.CloseMidResponse, 7, 2)},
		{name: "engine closes mid-stream, forwarded", entry: "north-1", key: "key-south", before: engineFault(southEngine, faults.CloseMidResponse, 7, 1)},
		{name: "engine stops sending mid-stream", entry: "north-1", key: "key-north", before: engineFault(northEngine, faults.Unresponsive, 9, 1)},
		{name: "engine stops sending mid-stream, forwarded", entry: "north-1", key: "key-south", before: engineFault(southEngine, faults.Unresponsive, 9, 1)},
		{name: "connection to engine drops all bytes", entry: "north-1", key: "key-north", during: blackholeEngine},
		{name: "connection to engine is closed", entry: "north-1", key: "key-north", during: func(d *deployment) { d.upstreams[northEngine].proxy.closeOpen() }},
		{name: "connection between nodes drops all bytes", entry: "north-1", key: "key-south", during: blackholePeer},
		{name: "connection between nodes is closed", entry: "north-1", key: "key-south", during: closePeer},
		{
			name: "connection between nodes drops all bytes and engine closes", entry: "north-1", key: "key-south",
			before: engineFault(southEngine, faults.CloseMidResponse, 30, 1), during: blackholePeer,
		},
		{
			name: "engine frozen and thawed", entry: "north-1", key: "key-north",
			during: func(d *deployment) {
				d.upstreams[northEngine].freeze()
				d.waitForEvent("north-1", "answer_resumed")
				d.upstreams[northEngine].thaw()
			},
		},
		{name: "engine killed", entry: "north-1", key: "key-north", mayTruncate: true, during: func(d *deployment) { d.upstreams[northEngine].kill() }},
		{name: "executing node killed", entry: "north-1", key: "key-south", mayTruncate: true, during: func(d *deployment) { d.nodes["south-1"].kill() }},
		{
			name: "executing node frozen and thawed", entry: "north-1", key: "key-south",
			during: func(d *deployment) {
				d.nodes["south-1"].freeze()
				d.waitForEvent("north-1", "answer_resumed")
				d.nodes["south-1"].thaw()
			},
		},
		{
			name: "executing node frozen permanently", entry: "north-1", key: "key-south", mayTruncate: true,
			during: func(d *deployment) { d.nodes["south-1"].freeze() },
		},
		{name: "entry killed", entry: "north-1", key: "key-south", mayTruncate: true, during: func(d *deployment) { d.nodes["north-1"].kill() }},
		{name: "slow caller", entry: "north-1", key: "key-south", slowReader: true},
		{name: "slow caller and engine closes", entry: "north-1", key: "key-south", slowReader: true, before: engineFault(southEngine, faults.CloseMidResponse, 15, 1)},
		{name: "link to other failure domain disconnected permanently", entry: "north-1", key: "key-south", mayTruncate: true, during: func(d *deployment) { d.nodes["south-1"].peerProxy.disconnect() }},
		{name: "platform down", entry: "north-1", key: "key-south", before: failPlatform},
		{name: "platform down and engine stops sending", entry: "north-1", key: "key-south", before: sequence(failPlatform, engineFault(southEngine, faults.Unresponsive, 9, 1))},
	}
}

// streamsPerFault is the number of streams in flight when a fault is injected.
const streamsPerFault = 3

// TestStreamedResponsesAreComplete compares every streamed response byte by byte with
// the engine's transcript for the request.
func TestStreamedResponsesAreComplete(t *testing.T) {
	t.Parallel()
	for _, c := range streamFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1, engines: 1, slots: streamsPerFault, rate: 60},
				site{region: "south", nodes: 1, engines: 1, slots: streamsPerFault, rate: 60})
			c.check(t, d)
		})
	}
}

// check starts the streams, injects the fault and checks the responses.
func (c streamFault) check(t *testing.T, d *deployment) {
	if c.before != nil {
		c.before(d)
	}
	streams := make([]*responseStream, streamsPerFault)
	for i := range streams {
		streams[i] = d.startChat(d.nodes[c.entry], c.key, fmt.Sprintf("question %d", i), 60)
		streams[i].readEvents(10)
	}
	if c.during != nil {
		c.during(d)
	}
	var readers sync.WaitGroup
	responses := make([]response, len(streams))
	for i, s := range streams {
		readers.Go(func() { responses[i] = c.read(s) })
	}
	readers.Wait()
	for _, r := range responses {
		if complete := checkComplete(t, r); !complete && !c.mayTruncate {
			t.Errorf("response is incomplete: %s: %s", r, tail(string(r.body)))
		}
	}
}

// slowReaderPause is the pause of a slow reader before each event.
const slowReaderPause = 30 * time.Millisecond

// read reads the rest of a response, slowly if the case requires it.
func (c streamFault) read(s *responseStream) response {
	for c.slowReader && s.err == nil {
		s.readEvents(1)
		time.Sleep(slowReaderPause)
	}
	return s.finish()
}
