package gateway

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/explain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

// refusingDomain is another failure domain whose node reads bytesBeforeRefusal bytes of
// a body and refuses; if readsAfterRefusal is set, it continues to read. The local
// domain's service stores the body that it receives.
type refusingDomain struct {
	narrowingNode
	ports.Service
	Peers
	bytesBeforeRefusal int
	readsAfterRefusal  bool
	got                []byte
	bodyErr            error
}

func (d *refusingDomain) Current() *lists.Snapshot { return d.lists[0] }

func (d *refusingDomain) Route(req RouteRequest) (Choice, error) {
	if len(req.Excluded.Nodes)+len(req.Excluded.Domains) == 0 {
		return Choice{Node: &domain.NodeRef{ID: "far", Place: domain.Place{Region: "north", FailureDomain: "far-a"}}}, nil
	}
	return Choice{Upstream: &domain.UpstreamRef{ID: "near", Place: domain.Place{Region: "north"}}}, nil
}

type noopProgress struct{}

func (noopProgress) FirstChunk() {}
func (noopProgress) Ended(error) {}

func (d *refusingDomain) Start(domain.UpstreamID, Work) (Progress, error) { return noopProgress{}, nil }

func (d *refusingDomain) StartForward(domain.NodeRef, Work) (Progress, error) {
	return noopProgress{}, nil
}

func (d *refusingDomain) Execute(_ context.Context, fwd *ForwardedRequest) (answer.Stream, error) {
	if _, err := io.ReadFull(fwd.Body, make([]byte, d.bytesBeforeRefusal)); err != nil {
		return nil, err
	}
	if d.readsAfterRefusal {
		go func() { _, _ = io.ReadAll(fwd.Body) }()
	}
	return nil, errkind.New(errkind.Draining, "draining")
}

func (d *refusingDomain) Call(_ context.Context, _ domain.UpstreamRef, r ports.ServiceRequest) (answer.Stream, error) {
	d.got, d.bodyErr = io.ReadAll(r.Body)
	return emptyAnswer{}, nil
}

type emptyAnswer struct{}

func (emptyAnswer) Head() answer.Head     { return answer.Head{Status: 200} }
func (emptyAnswer) Next() ([]byte, error) { return nil, io.EOF }
func (emptyAnswer) Close() error          { return nil }

// TestBodyIsReplayedAfterRefusedAttempt has a first attempt read part of a streamed body
// before it is refused. The next attempt must get the whole body, or the caller a
// refusal.
func TestBodyIsReplayedAfterRefusedAttempt(t *testing.T) {
	for _, tc := range []struct {
		name                       string
		size, bytesBeforeRefusal   int
		readsAfterRefusal, retried bool
	}{
		{"nothing read", 4096, 0, false, true},
		{"start read", 4096, 100, false, true},
		{"all read", 4096, 4096, false, true},
		{"still reading after the refusal", 4096, 100, true, true},
		{"more read than is buffered", 4 * maxBufferedBodyBytes, 3 * maxBufferedBodyBytes, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := bytes.Repeat([]byte("0123456789abcdef"), tc.size/16)
			d := &refusingDomain{bytesBeforeRefusal: tc.bytesBeforeRefusal, readsAfterRefusal: tc.readsAfterRefusal}
			d.lists = []*lists.Snapshot{repeatableLists(t)}
			g := New(Deps{
				Lists: d, Router: d, Tracker: d, Peers: d, Service: d, Admission: d, Observer: d,
				Explain: explain.NewLog(1), Log: event.Discard{}, Now: time.Now,
			})
			err := g.Serve(t.Context(), &Request{
				ID: "r1", BearerKey: "key", Target: domain.Target{Kind: domain.TargetService, Name: "ledger"},
				Method: "POST", Path: "/echo", Body: bytes.NewReader(sent),
			}, discardAnswer{})
			if tc.retried && (err != nil || d.bodyErr != nil || !bytes.Equal(d.got, sent)) {
				t.Errorf("the service got %d of %d bytes with error %v, the caller error %v; want all bytes and no errors", len(d.got), len(sent), d.bodyErr, err)
			}
			if !tc.retried && (len(d.got) > 0 || errkind.From(err) == nil || errkind.From(err).Verdict() != domain.RunNo) {
				t.Errorf("the service got %d bytes, the caller error %v; want none and a refusal with verdict no", len(d.got), err)
			}
		})
	}
}

// repeatableLists returns lists in which every call of the service is repeatable.
func repeatableLists(t *testing.T) *lists.Snapshot {
	t.Helper()
	source := compileLists(t, 1, "north", "south").Source
	source.Document.Services[0].Routes = []lists.Route{{Methods: []string{"POST"}, PathPrefix: "/", Repeatable: true}}
	s, err := lists.Compile(source)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestReadAfterEndConsumesNothing reads the body of an attempt that has ended, which
// must not consume data of the next attempt.
func TestReadAfterEndConsumesNothing(t *testing.T) {
	body := &streamedBody{src: strings.NewReader("whole")}
	endedBody := body.attempt()
	endedBody.end()
	if n, err := endedBody.Read(make([]byte, 2)); n != 0 || err == nil {
		t.Errorf("got %d bytes with error %v, want 0 bytes and an error", n, err)
	}
	if got, err := io.ReadAll(body.attempt()); string(got) != "whole" || err != nil {
		t.Errorf("got %q with error %v, want the whole body", got, err)
	}
}
