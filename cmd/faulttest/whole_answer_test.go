package faulttest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
)

// wholeAnswerFault is a row of the table for whole answers.
type wholeAnswerFault struct {
	name string
	// before strikes before the question, during after some events arrived.
	before, during func(d *deployment)
	// slowReader makes the caller read with pauses.
	slowReader bool
	// entry and key choose the way; "key-south" at north-1 is a forward.
	entry, key string
	// mayBreak is set where nothing is left that holds the generation.
	mayBreak bool
}

const (
	northEngine = "engine-north-1"
	southEngine = "engine-south-1"
)

func engineFault(id string, mode faults.Mode, after uint64, times int) func(*deployment) {
	return func(d *deployment) {
		d.upstreamFaults(id, faults.Fault{Mode: mode, AfterEvents: after, Times: times})
	}
}

func together(all ...func(*deployment)) func(*deployment) {
	return func(d *deployment) {
		for _, f := range all {
			f(d)
		}
	}
}

func wholeAnswerFaults() []wholeAnswerFault {
	silentPeer := func(d *deployment) { d.nodes["south-1"].peers.silenceOpen() }
	closedPeer := func(d *deployment) { d.nodes["south-1"].peers.closeOpen() }
	silentEngine := func(d *deployment) { d.upstreams[northEngine].relay.silenceOpen() }
	return []wholeAnswerFault{
		{name: "no fault", entry: "north-1", key: "key-north"},
		{name: "no fault, forwarded", entry: "north-1", key: "key-south"},
		{name: "engine closes mid-stream", entry: "north-1", key: "key-north", before: engineFault(northEngine, faults.Die, 7, 1)},
		{name: "engine closes twice", entry: "north-1", key: "key-north", before: engineFault(northEngine, faults.Die, 7, 2)},
		{name: "engine closes mid-stream, forwarded", entry: "north-1", key: "key-south", before: engineFault(southEngine, faults.Die, 7, 1)},
		{name: "engine goes silent mid-stream", entry: "north-1", key: "key-north", before: engineFault(northEngine, faults.Silent, 9, 1)},
		{name: "engine goes silent, forwarded", entry: "north-1", key: "key-south", before: engineFault(southEngine, faults.Silent, 9, 1)},
		{name: "connection to engine swallows", entry: "north-1", key: "key-north", during: silentEngine},
		{name: "connection to engine is closed", entry: "north-1", key: "key-north", during: func(d *deployment) { d.upstreams[northEngine].relay.closeOpen() }},
		{name: "connection between nodes swallows", entry: "north-1", key: "key-south", during: silentPeer},
		{name: "connection between nodes is closed", entry: "north-1", key: "key-south", during: closedPeer},
		{
			name: "connection between nodes swallows and engine closes", entry: "north-1", key: "key-south",
			before: engineFault(southEngine, faults.Die, 30, 1), during: silentPeer,
		},
		{
			name: "engine frozen and thawed", entry: "north-1", key: "key-north",
			during: func(d *deployment) {
				d.upstreams[northEngine].freeze()
				d.waitLogged("north-1", "answer_resumed")
				d.upstreams[northEngine].thaw()
			},
		},
		{name: "engine killed", entry: "north-1", key: "key-north", mayBreak: true, during: func(d *deployment) { d.upstreams[northEngine].kill() }},
		{name: "executing node killed", entry: "north-1", key: "key-south", mayBreak: true, during: func(d *deployment) { d.nodes["south-1"].kill() }},
		{
			name: "executing node frozen and thawed", entry: "north-1", key: "key-south",
			during: func(d *deployment) {
				d.nodes["south-1"].freeze()
				d.waitLogged("north-1", "answer_resumed")
				d.nodes["south-1"].thaw()
			},
		},
		{
			name: "executing node frozen for good", entry: "north-1", key: "key-south", mayBreak: true,
			during: func(d *deployment) { d.nodes["south-1"].freeze() },
		},
		{name: "entry killed", entry: "north-1", key: "key-south", mayBreak: true, during: func(d *deployment) { d.nodes["north-1"].kill() }},
		{name: "slow caller", entry: "north-1", key: "key-south", slowReader: true},
		{name: "slow caller and engine closes", entry: "north-1", key: "key-south", slowReader: true, before: engineFault(southEngine, faults.Die, 15, 1)},
		{name: "link to other domain cut for good", entry: "north-1", key: "key-south", mayBreak: true, during: func(d *deployment) { d.nodes["south-1"].peers.cut() }},
		{name: "platform down", entry: "north-1", key: "key-south", before: platformDown},
		{name: "platform down and engine silent", entry: "north-1", key: "key-south", before: together(platformDown, engineFault(southEngine, faults.Silent, 9, 1))},
	}
}

// answersPerFault is the number of questions under way when a fault strikes.
const answersPerFault = 3

// TestWholeAnswers compares every streamed answer, byte for byte, with what the
// engine sends for its request.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	for _, c := range wholeAnswerFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1, engines: 1, slots: answersPerFault, rate: 60},
				site{region: "south", nodes: 1, engines: 1, slots: answersPerFault, rate: 60})
			c.check(t, d)
		})
	}
}

func (c wholeAnswerFault) check(t *testing.T, d *deployment) {
	if c.before != nil {
		c.before(d)
	}
	streams := make([]*answerStream, answersPerFault)
	for i := range streams {
		streams[i] = d.ask(d.nodes[c.entry], c.key, fmt.Sprintf("question %d", i), 60)
		streams[i].readEvents(10)
	}
	if c.during != nil {
		c.during(d)
	}
	var readers sync.WaitGroup
	replies := make([]reply, len(streams))
	for i, s := range streams {
		readers.Go(func() { replies[i] = c.read(s) })
	}
	readers.Wait()
	for _, r := range replies {
		if whole := checkWhole(t, r); !whole && !c.mayBreak {
			t.Errorf("not whole: %s: %s", r, tail(string(r.body)))
		}
	}
}

const slowReaderPause = 30 * time.Millisecond

func (c wholeAnswerFault) read(s *answerStream) reply {
	for c.slowReader && s.err == nil {
		s.readEvents(1)
		time.Sleep(slowReaderPause)
	}
	return s.finish()
}
