package mesh

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/quarantine"
)

// evidence returns a message with as many records as a node sends at most.
func evidence() quarantine.Message {
	var msg quarantine.Message
	for i := range 16 {
		r := quarantine.Record{Subject: quarantine.Subject{ID: 1<<47 + uint64(i), Request: i%2 == 1}, Position: i, SinceAnswer: -1, SinceHeld: time.Duration(i-1) * time.Second,
			SinceRequest: 300 * time.Millisecond, Trials: i % 4}
		if i == 0 {
			r.SinceHeld = -1
		}
		for j := range 5 {
			r.Crashes = append(r.Crashes, quarantine.CrashRecord{Process: 1<<60 + uint64(j), Since: time.Duration(j) * time.Second})
		}
		msg.Suspects = append(msg.Suspects, r)
		msg.Refuted = append(msg.Refuted, quarantine.CrashRecord{Process: 1<<61 + uint64(i), Since: time.Duration(i) * time.Second})
	}
	return msg
}

func TestPartsAndLimitsRoundTrip(t *testing.T) {
	msg := sampleMessage(3)
	msg.Parts = evidence()
	msg.RateLimits = []instances.RateLimit{{Service: "app", Instance: "i-1", PerSecond: 2.1, Age: time.Second}, {Service: "app", Instance: "i-2", Age: 3 * time.Second}}
	msg.Statements = []instances.Statement{{Service: "app", Instance: "i-3", Started: 1 << 41, ColdFor: 2 * time.Second}, {Service: "app", Instance: "i-4", Leaving: true},
		{Service: "app", Instance: "i-5", Lost: &instances.ToldLoss{ID: 7, Ages: instances.Ages{From: 2 * time.Second, Until: time.Second}}, WarmAge: time.Minute}}
	wire := messageToWire(msg)
	got := messageFromWire(wire)
	if fmt.Sprint(got) != fmt.Sprint(msg) {
		t.Errorf("got %+v\nwant %+v", got, msg)
	}
	t.Logf("message of %d bytes, of which %d are evidence and limits", proto.Size(wire), proto.Size(wire)-proto.Size(messageToWire(sampleMessage(3))))
}

// TestMessageWithoutNewsHasNoEvidence: nothing is added while no upstream crashes or is limited.
func TestMessageWithoutNewsHasNoEvidence(t *testing.T) {
	msg := sampleMessage(3)
	before := proto.Size(messageToWire(msg))
	msg.Parts = quarantine.New(quarantine.Options{}).Message(time.Now())
	if got := proto.Size(messageToWire(msg)); got != before {
		t.Errorf("got a message of %d bytes, want %d as without evidence", got, before)
	}
}
