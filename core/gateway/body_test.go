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

// refusingDomain is another failure domain whose node takes readsFirst bytes of
// a body, reads on after its refusal if lingers is set, and refuses; the own
// domain's service answers with the body that it got.
type refusingDomain struct {
	narrowingNode
	ports.Service
	Peers
	readsFirst int
	lingers    bool
	got        []byte
	bodyErr    error
}

func (d *refusingDomain) Current() *lists.Snapshot { return d.lists[0] }

func (d *refusingDomain) Route(req RouteRequest) (Choice, error) {
	if len(req.Tried.Nodes)+len(req.Tried.Domains) == 0 {
		return Choice{Node: &domain.NodeRef{ID: "far", Place: domain.Place{Region: "north", FailureDomain: "far-a"}}}, nil
	}
	return Choice{Upstream: &domain.UpstreamRef{ID: "near", Place: domain.Place{Region: "north"}}}, nil
}

type noProgress struct{}

func (noProgress) FirstChunk() {}
func (noProgress) Ended(error) {}

func (d *refusingDomain) Start(domain.UpstreamID, Work) (Progress, error) { return noProgress{}, nil }

func (d *refusingDomain) StartForward(domain.NodeRef, Work) (Progress, error) {
	return noProgress{}, nil
}

func (d *refusingDomain) Execute(_ context.Context, fwd *Forward) (answer.Stream, error) {
	if _, err := io.ReadFull(fwd.Body, make([]byte, d.readsFirst)); err != nil {
		return nil, err
	}
	if d.lingers {
		go func() { _, _ = io.ReadAll(fwd.Body) }()
	}
	return nil, errkind.New(errkind.Draining, "leaving")
}

func (d *refusingDomain) Call(_ context.Context, _ domain.UpstreamRef, r ports.ServiceRequest) (answer.Stream, error) {
	d.got, d.bodyErr = io.ReadAll(r.Body)
	return wholeAnswer{}, nil
}

type wholeAnswer struct{}

func (wholeAnswer) Head() answer.Head     { return answer.Head{Status: 200} }
func (wholeAnswer) Next() ([]byte, error) { return nil, io.EOF }
func (wholeAnswer) Close() error          { return nil }

// TestBodyReadByARefusedAttemptIsNotCutShort lets a first attempt take part of a
// streamed body before it is refused.
func TestBodyReadByARefusedAttemptIsNotCutShort(t *testing.T) {
	for _, row := range []struct {
		name             string
		size, readsFirst int
		lingers, retried bool
	}{
		{"nothing read", 4096, 0, false, true},
		{"start read", 4096, 100, false, true},
		{"all read", 4096, 4096, false, true},
		{"still reading after the refusal", 4096, 100, true, true},
		{"more read than is kept", 4 * keptBodyBytes, 3 * keptBodyBytes, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			sent := bytes.Repeat([]byte("0123456789abcdef"), row.size/16)
			d := &refusingDomain{readsFirst: row.readsFirst, lingers: row.lingers}
			d.lists = []*lists.Snapshot{repeatable(t)}
			g := New(Deps{
				Lists: d, Router: d, Tracker: d, Peers: d, Service: d, Admission: d, Observer: d,
				Explain: explain.NewLog(1), Log: event.Discard{}, Now: time.Now,
			})
			err := g.Serve(t.Context(), &Request{
				ID: "r1", BearerKey: "key", Target: domain.Target{Kind: domain.TargetService, Name: "ledger"},
				Method: "POST", Path: "/echo", Body: bytes.NewReader(sent),
			}, discardAnswer{})
			if row.retried && (err != nil || d.bodyErr != nil || !bytes.Equal(d.got, sent)) {
				t.Errorf("the service got %d of %d bytes, %v and %v", len(d.got), len(sent), d.bodyErr, err)
			}
			if !row.retried && (len(d.got) > 0 || errkind.From(err) == nil || errkind.From(err).Verdict() != domain.RunNo) {
				t.Errorf("the service got %d bytes, the caller %v; want a refusal with verdict no", len(d.got), err)
			}
		})
	}
}

// repeatable returns lists whose service may repeat every call.
func repeatable(t *testing.T) *lists.Snapshot {
	t.Helper()
	source := compiled(t, 1, "north", "south").Source
	source.Document.Services[0].Routes = []lists.Route{{Methods: []string{"POST"}, PathPrefix: "/", Repeatable: true}}
	s, err := lists.Compile(source)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestLateReadOfAnEndedAttemptTakesNothing reads the body of an attempt that is
// over.
func TestLateReadOfAnEndedAttemptTakesNothing(t *testing.T) {
	body := &streamedBody{src: strings.NewReader("whole")}
	late := body.attempt()
	late.end()
	if n, err := late.Read(make([]byte, 2)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if got, err := io.ReadAll(body.attempt()); string(got) != "whole" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}
