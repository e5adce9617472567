package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// receive sends a request and returns the body that arrived, with the error that ended it.
func receive(client *Routed, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := client.Send(ctx, &instances.Instance{Address: address}, &relay.Call{Request: &relay.Request{
		Message: relay.Message{Method: "POST", RequestTarget: "/"}, Route: &routes.Route{Kind: routes.AtMostOnce}}})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	var body []byte
	for {
		b, err := answer.Next()
		body = append(body, b...)
		if err != nil {
			return string(body), err
		}
	}
}

// TestAnswerOfCrashedUpstreamNeverEndsAsComplete lets the upstream crash after every
// number of bytes.
func TestAnswerOfCrashedUpstreamNeverEndsAsComplete(t *testing.T) {
	const maxHeadBytes = 300
	for name, b := range map[string]routedsim.Behaviour{
		"plain body without length": {Undelimited: true},
		"plain body with length":    {},
		"stream without chunks":     {Undelimited: true, Events: 3},
		"stream in chunks":          {Events: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := NewRouted(Options{}, plainDialect{})
			defer client.Close()
			store := storesim.New()
			whole := ""
			var crashes atomic.Int64
			parallel := make(chan struct{}, 16)
			var cuts sync.WaitGroup
			for n := range maxHeadBytes {
				parallel <- struct{}{}
				cuts.Go(func() {
					defer func() { <-parallel }()
					u := routedsim.Start(store, "app", "west-a", "u1")
					defer u.Close()
					cut := b
					cut.EndAfterBytes, cut.CrashAtEnd = n, n > 0
					u.SetBehaviour(cut)
					body, err := receive(client, u.Address())
					crashes.Add(int64(len(u.Crashes())))
					switch {
					case n == 0:
						whole = body
						if !errors.Is(err, io.EOF) || body == "" {
							t.Errorf("the upstream runs: got body %q and error %v, want a complete answer", body, err)
						}
					case errors.Is(err, io.EOF) && body != whole:
						t.Errorf("the upstream crashed after %d bytes: got %q as a complete answer", n, body)
					}
				})
				if n == 0 {
					cuts.Wait() // the others compare with the whole answer
				}
			}
			cuts.Wait()
			if crashes.Load() < int64(len(whole)) {
				t.Errorf("the upstreams crashed %d times, want at least once for each byte of a body of %d", crashes.Load(), len(whole))
			}
		})
	}
}

// fakeDial returns the outcomes of dials in order; the last one is repeated.
type fakeDial struct {
	mu       sync.Mutex
	outcomes []dialOutcome
	dials    int
}

type dialOutcome int

const (
	staysOpenOutcome dialOutcome = iota
	closesOutcome
	refusedOutcome
	hangsOutcome
)

func (f *fakeDial) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f.mu.Lock()
	f.dials++
	outcome := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	f.mu.Unlock()
	switch outcome {
	case refusedOutcome:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case hangsOutcome:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, peer := net.Pipe()
	if outcome == closesOutcome {
		peer.Close()
	}
	return conn, nil
}

func TestLivenessCheck(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []dialOutcome
		want     error
	}{
		"the connection stays open":                      {[]dialOutcome{staysOpenOutcome}, nil},
		"connections are refused":                        {[]dialOutcome{refusedOutcome}, errNotRunning},
		"closed while the process exits":                 {[]dialOutcome{closesOutcome, refusedOutcome}, errNotRunning},
		"closed by a proxy, or for too many connections": {[]dialOutcome{closesOutcome}, errLivenessUnknown},
		"closed for too many connections for a while":    {[]dialOutcome{closesOutcome, closesOutcome, staysOpenOutcome}, nil},
		"the opening packet is lost":                     {[]dialOutcome{hangsOutcome, staysOpenOutcome}, nil},
		"the opening packet is lost, then it is refused": {[]dialOutcome{hangsOutcome, refusedOutcome}, errNotRunning},
		"no response": {[]dialOutcome{hangsOutcome}, errLivenessUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeDial{outcomes: c.outcomes}
				started := time.Now()
				if err := newLivenessChecker(Options{Dial: f.dial}).check(t.Context(), "a:1"); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if took := time.Since(started); took > livenessTimeout {
					t.Errorf("the check took %v, want at most %v", took, livenessTimeout)
				}
			})
		})
	}
}

// TestLivenessChecksOfManyAnswersShareConnections ends 100 answers at about the same time.
func TestLivenessChecksOfManyAnswersShareConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDial{outcomes: []dialOutcome{staysOpenOutcome}}
		l := newLivenessChecker(Options{Dial: f.dial})
		var answers sync.WaitGroup
		for i := range 100 {
			answers.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 10)
				if err := l.check(t.Context(), "a:1"); err != nil {
					t.Errorf("got %v, want that the upstream runs", err)
				}
			})
		}
		answers.Wait()
		if f.dials > 2 {
			t.Errorf("100 answers that ended within 10 ms opened %d connections, want at most 2", f.dials)
		}
	})
}

// A check that began before an answer ended does not show that the upstream ran after it.
func TestLivenessCheckBeganBeforeTheEndIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDial{outcomes: []dialOutcome{staysOpenOutcome, refusedOutcome}}
		l := newLivenessChecker(Options{Dial: f.dial})
		first := make(chan error)
		go func() { first <- l.check(t.Context(), "a:1") }()
		time.Sleep(livenessObservation / 2)
		if err := l.check(t.Context(), "a:1"); !errors.Is(err, errNotRunning) {
			t.Errorf("the upstream crashed during the first check: got %v for the second, want %v", err, errNotRunning)
		}
		if err := <-first; err != nil {
			t.Errorf("got %v for the first check, want none", err)
		}
	})
}

func TestLivenessCheckEndsWithItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLivenessChecker(Options{Dial: (&fakeDial{outcomes: []dialOutcome{hangsOutcome}}).dial})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if err := l.check(ctx, "a:1"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the error of the request", err)
		}
		time.Sleep(livenessTimeout) // until the check ends too
	})
}
