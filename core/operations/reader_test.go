package operations

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

func dispatchWithHead(t testing.TB, r *Run) {
	t.Helper()
	if _, err := r.Dispatch(executorA, origin); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteHead(answer.Head{Status: 200}); err != nil {
		t.Fatal(err)
	}
}

func write(t testing.TB, r *Run, chunk string) {
	t.Helper()
	if err := r.WriteChunk([]byte(chunk)); err != nil {
		t.Fatal(err)
	}
}

func readAll(ctx context.Context, d *Reader) (string, error) {
	s, err := d.Open(ctx)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for {
		p, err := s.Next()
		if err == io.EOF {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.Write(p)
	}
}

func TestRepeatsReadCompleteAnswerWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, smallConfig)
		id := i.Issue(customer, origin)
		r := mustRun(t, i, id, origin)
		results := make(chan string)
		read := func(d *Reader) {
			text, err := readAll(t.Context(), d)
			d.Close()
			if err != nil {
				text = err.Error()
			}
			results <- text
		}
		join := func() *Reader {
			b, err := i.Begin(id, customer, 1, origin)
			if err != nil || b.Joined == nil {
				t.Fatalf("Begin = %+v, %v", b, err)
			}
			return b.Joined.Reader()
		}
		go read(r.Reader())
		go read(join())
		slow := join() // reads only after the run has ended
		dispatchWithHead(t, r)
		synctest.Wait()
		write(t, r, "one ")
		go read(join())
		write(t, r, "two")
		if err := r.Complete(origin); err != nil {
			t.Fatal(err)
		}
		go read(slow)
		go read(join())
		for range 5 {
			if got := <-results; got != "one two" {
				t.Errorf("read %q, want \"one two\"", got)
			}
		}
	})
}

func TestOversizedAnswerReachesInitialCallerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, smallConfig)
		id := i.Issue(customer, origin)
		r := mustRun(t, i, id, origin)
		b, err := i.Begin(id, customer, 1, origin)
		if err != nil {
			t.Fatal(err)
		}
		repeat, first := b.Joined.Reader(), r.Reader()
		chunk := strings.Repeat("x", 1<<10)
		const chunks = 300
		done := make(chan error)
		go func() {
			dispatchWithHead(t, r)
			for range chunks {
				write(t, r, chunk)
			}
			done <- r.Complete(origin)
		}()
		synctest.Wait()
		if retained := i.RetainedBytes(); retained > maxBackpressureBytes+smallConfig.MaxAnswerBytes {
			t.Errorf("%d bytes are retained for a stalled initial caller", retained)
		}
		_, err = readAll(t.Context(), repeat)
		wantKind(t, err, errkind.AnswerNotKept, domain.RunUnknown)
		got, err := readAll(t.Context(), first)
		if err != nil || len(got) != chunks*len(chunk) {
			t.Errorf("the initial caller read %d bytes, error %v", len(got), err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		_, err = i.Begin(id, customer, 1, origin)
		wantKind(t, err, errkind.AnswerNotKept, domain.RunYes)
		first.Close()
		repeat.Close()
		if retained := i.RetainedBytes(); retained != 0 {
			t.Errorf("%d bytes are retained, want 0", retained)
		}
	})
}

func TestClosedInitialReaderDoesNotStallLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, smallConfig)
		r := mustRun(t, i, i.Issue(customer, origin), origin)
		first := r.Reader()
		done := make(chan struct{})
		go func() {
			dispatchWithHead(t, r)
			for range 300 {
				write(t, r, strings.Repeat("x", 1<<10))
			}
			close(done)
		}()
		synctest.Wait()
		first.Close()
		<-done
	})
}

func TestMemoryLimitRetainsNewestAnswers(t *testing.T) {
	c := smallConfig
	c.MaxRecords = 100
	i := newIssuer(t, c)
	var ids []domain.OperationID
	for range 20 {
		id := i.Issue(customer, origin)
		r := mustRun(t, i, id, origin)
		dispatchWithHead(t, r)
		write(t, r, strings.Repeat("x", 2<<10))
		if err := r.Complete(origin); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
		if retained := i.RetainedBytes(); retained > c.MaxTotalBytes {
			t.Fatalf("%d bytes are retained, which is above the limit", retained)
		}
	}
	_, err := i.Begin(ids[0], customer, 1, origin)
	wantKind(t, err, errkind.AnswerNotKept, domain.RunYes)
	if b, err := i.Begin(ids[19], customer, 1, origin); err != nil || b.Joined == nil {
		t.Fatalf("Begin = %+v, %v", b, err)
	}
	if retained := i.Expire(at(time.Hour)); retained != 0 || i.RetainedBytes() != 0 {
		t.Fatalf("after expiry got %d records and %d bytes, want 0 and 0", retained, i.RetainedBytes())
	}
	_, err = i.Begin(ids[19], customer, 1, at(time.Hour))
	wantKind(t, err, errkind.OperationExpired, domain.RunUnknown)
}

func TestAnswerAboveMaxAnswerBytesIsNotRetained(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := i.Issue(customer, origin)
	r := mustRun(t, i, id, origin)
	dispatchWithHead(t, r)
	write(t, r, strings.Repeat("x", smallConfig.MaxAnswerBytes))
	if retained := i.RetainedBytes(); retained > smallConfig.MaxAnswerBytes {
		t.Fatalf("%d bytes are retained, which is above the limit", retained)
	}
	_, err := i.Begin(id, customer, 1, origin)
	wantKind(t, err, errkind.AnswerNotKept, domain.RunUnknown)
}

func TestAttachedReaderOutlivesExpiry(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := i.Issue(customer, origin)
	r := mustRun(t, i, id, origin)
	dispatchWithHead(t, r)
	write(t, r, "whole")
	if err := r.Complete(origin); err != nil {
		t.Fatal(err)
	}
	b, err := i.Begin(id, customer, 1, origin)
	if err != nil {
		t.Fatal(err)
	}
	early := b.Joined.Reader()
	i.Expire(at(time.Hour))
	if got, err := readAll(t.Context(), early); got != "whole" || err != nil {
		t.Fatalf("attached reader got %q, %v", got, err)
	}
	_, err = readAll(t.Context(), b.Joined.Reader())
	wantKind(t, err, errkind.AnswerNotKept, domain.RunYes)
	early.Close()
	if retained := i.RetainedBytes(); retained != 0 {
		t.Fatalf("%d bytes are retained, want 0", retained)
	}
}

func TestReaderWaitIsCanceledByContext(t *testing.T) {
	i := newIssuer(t, smallConfig)
	r := mustRun(t, i, i.Issue(customer, origin), origin)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := readAll(ctx, r.Reader())
	wantKind(t, err, errkind.Canceled, domain.RunUnknown)
}
