package streams_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/streams"
)

var start = time.Unix(1_000_000, 0)

func all(string) bool  { return true }
func none(string) bool { return false }

func TestOriginIsFoundForItsRetentionOnly(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service string
		after   time.Duration
		found   bool
	}{
		{"at once", "app", 0, true},
		{"near the end", "app", streams.Retention - time.Second, true},
		{"too late", "app", streams.Retention, false},
		{"at another service", "other", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := streams.NewOrigins()
			for i := range 100 { // others that rotate the records meanwhile
				o.Record(start.Add(time.Duration(i-50)*time.Second), streams.Origin{Request: domain.RequestID(string(rune('A' + i))), Service: "app", Software: "v0"})
				if i == 50 {
					o.Record(start, streams.Origin{Request: "q", Service: "app", Software: "v1"})
				}
				if i-50 == int(tc.after/time.Second) {
					break
				}
			}
			software, found := o.Find(start.Add(tc.after), tc.service, "q")
			if found != tc.found || found && software != "v1" {
				t.Errorf("got version %q, found %v; want found %v", software, found, tc.found)
			}
		})
	}
}

func TestOriginsAreSharedOnceTheirServiceHasTwoVersions(t *testing.T) {
	o := streams.NewOrigins()
	o.Record(start, streams.Origin{Request: "old", Service: "app", Software: "v1"})
	o.Record(start.Add(8*time.Second), streams.Origin{Request: "young", Service: "app", Software: "v1"})
	now := start.Add(12 * time.Second)
	if list := o.TakeUnshared(now, none); len(list) > 0 {
		t.Errorf("got %v of a service with one version, want none", list)
	}
	list := o.TakeUnshared(now, all)
	if len(list) != 1 || list[0] != (streams.Origin{Request: "young", Service: "app", Software: "v1", Age: 4 * time.Second}) {
		t.Errorf("got %v, want the stream that is not too old", list)
	}
	if list := o.TakeUnshared(now, all); len(list) > 0 {
		t.Errorf("got %v a second time, want none", list)
	}
	other := streams.NewOrigins()
	other.Merge(now, list)
	if software, found := other.Find(now.Add(5*time.Second), "app", "young"); !found || software != "v1" {
		t.Errorf("another node found version %q, %v; want v1", software, found)
	}
	if _, found := other.Find(now.Add(7*time.Second), "app", "young"); found {
		t.Error("another node found a stream that is too old")
	}
	if list := other.TakeUnshared(now, all); len(list) > 0 {
		t.Errorf("another node shares %v, want none", list)
	}
}
