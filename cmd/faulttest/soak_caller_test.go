package faulttest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// soakAnswer is what a caller got for one request.
type soakAnswer struct {
	id, kind string
	status   int
	body     string
	sealed   bool
	// cut is set if the connection ended before the answer.
	cut bool
}

var soakIDs atomic.Int64

const soakEvents = 5

// ask makes one request over a connection of its own.
func (n *soakNode) ask(kind, who string) soakAnswer {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	return n.askOver(transport, kind, who)
}

func (n *soakNode) askOver(transport http.RoundTripper, kind, who string) soakAnswer {
	a := soakAnswer{id: fmt.Sprintf("%s-%s-%d", kind, who, soakIDs.Add(1)), kind: kind}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.entry+"/"+kind+"/"+a.id, strings.NewReader("body"))
	if err != nil {
		a.cut = true
		return a
	}
	req.GetBody = nil // the transport must not send it again by itself
	req.Host = soakHost
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Deadline-Ms", "3000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.cut = true
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.body, a.sealed, a.cut = resp.StatusCode, string(text), resp.Header.Get("X-Response-Seal") != "", err != nil
	return a
}

// soakCallers send requests to random nodes until stopped, over connections that
// they keep for as long as the node does.
type soakCallers struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	answers []soakAnswer
}

func startSoakCallers(f *soakFleet, count int, seed uint64) *soakCallers {
	c := &soakCallers{stop: make(chan struct{})}
	for i := range count {
		c.wg.Go(func() { c.run(f, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return c
}

func (c *soakCallers) run(f *soakFleet, caller int, draw *rand.Rand) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	kinds := []string{"safe", "call", "home", "stream", "once"}
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(draw.IntN(20)) * time.Millisecond):
		}
		a := f.nodes[draw.IntN(len(f.nodes))].askOver(transport, kinds[draw.IntN(len(kinds))], fmt.Sprint("c", caller))
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
	}
}

func (c *soakCallers) finish() []soakAnswer {
	close(c.stop)
	c.wg.Wait()
	return c.answers
}

// wholeStream is the body of an uncut stream.
func wholeSoakStream() string {
	var b strings.Builder
	for n := 1; n <= soakEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

// fault tells what is wrong with the answer itself; empty if nothing is.
func (a soakAnswer) fault() string {
	streams := a.kind == "stream" || a.kind == "once"
	switch {
	case a.cut && !streams && a.status != 0:
		return "" // broken, and seen to be
	case a.cut:
		if !strings.HasPrefix(wholeSoakStream(), a.body) && a.status == http.StatusOK {
			return "a cut stream has wrong bytes"
		}
		return ""
	case a.status != http.StatusOK:
		return ""
	case !a.sealed:
		return "a success without signature"
	case streams && a.body != wholeSoakStream():
		return "a stream ended cleanly and is not whole"
	case !streams && !strings.Contains(a.body, "/"+a.kind+"/"+a.id+" "):
		return "an answer to another request"
	}
	return ""
}

// promisesNotRun tells if the status says that the request never runs.
func (a soakAnswer) promisesNotRun() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
