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

func TestRepeatsReadWholeAnswerWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, smallSizes)
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
			if err != nil || b.Join == nil {
				t.Fatalf("Begin = %+v, %v", b, err)
			}
			return b.Join.Reader()
		}
		go read(r.Reader())
		go read(join())
		slow := join() // reads only after the end
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
				t.Errorf("read %q", got)
			}
		}
	})
}

func TestAnswerTooLargeReachesFirstCallerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, smallSizes)
		id := i.Issue(customer, origin)
		r := mustRun(t, i, id, origin)
		b, err := i.Begin(id, customer, 1, origin)
		if err != nil {
			t.Fatal(err)
		}
		repeat, first := b.Join.Reader(), r.Reader()
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
		if kept := i.KeptBytes(); kept > holdBackBytes+smallSizes.MaxAnswerBytes {
			t.Errorf("holds %d bytes for a stalled first caller", kept)
		}
		_, err = readAll(t.Context(), repeat)
		wantKind(t, err, errkind.AnswerNotKept, domain.RunUnknown)
		got, err := readAll(t.Context(), first)
		if err != nil || len(got) != chunks*len(chunk) {
			t.Errorf("first caller read %d bytes, %v", len(got), err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		_, err = i.Begin(id, customer, 1, origin)
		wantKind(t, err, errkind.AnswerNotKept, domain.RunYes)
		first.Close()
		repeat.Close()
		if kept := i.KeptBytes(); kept != 0 {
			t.Errorf("%d bytes kept", kept)
		}
	})
}

func TestGoneFirstCallerDoesNotStallLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, smallSizes)
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

func TestMemoryBoundKeepsNewestAnswers(t *testing.T) {
	c := smallSizes
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
		if kept := i.KeptBytes(); kept > c.MaxTotalBytes {
			t.Fatalf("keeps %d bytes", kept)
		}
	}
	_, err := i.Begin(ids[0], customer, 1, origin)
	wantKind(t, err, errkind.AnswerNotKept, domain.RunYes)
	if b, err := i.Begin(ids[19], customer, 1, origin); err != nil || b.Join == nil {
		t.Fatalf("Begin = %+v, %v", b, err)
	}
	if kept := i.Expire(at(time.Hour)); kept != 0 || i.KeptBytes() != 0 {
		t.Fatalf("after expiry %d records, %d bytes", kept, i.KeptBytes())
	}
	_, err = i.Begin(ids[19], customer, 1, at(time.Hour))
	wantKind(t, err, errkind.OperationExpired, domain.RunUnknown)
}

func TestAnswerOverItsOwnBoundIsNotKept(t *testing.T) {
	i := newIssuer(t, smallSizes)
	id := i.Issue(customer, origin)
	r := mustRun(t, i, id, origin)
	dispatchWithHead(t, r)
	write(t, r, strings.Repeat("x", smallSizes.MaxAnswerBytes))
	if kept := i.KeptBytes(); kept > smallSizes.MaxAnswerBytes {
		t.Fatalf("keeps %d bytes", kept)
	}
	_, err := i.Begin(id, customer, 1, origin)
	wantKind(t, err, errkind.AnswerNotKept, domain.RunUnknown)
}

func TestForgottenWhileJoining(t *testing.T) {
	i := newIssuer(t, smallSizes)
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
	early := b.Join.Reader()
	i.Expire(at(time.Hour))
	if got, err := readAll(t.Context(), early); got != "whole" || err != nil {
		t.Fatalf("attached reader got %q, %v", got, err)
	}
	_, err = readAll(t.Context(), b.Join.Reader())
	wantKind(t, err, errkind.AnswerNotKept, domain.RunYes)
	early.Close()
	if kept := i.KeptBytes(); kept != 0 {
		t.Fatalf("%d bytes kept", kept)
	}
}

func TestWaitEndsWithContext(t *testing.T) {
	i := newIssuer(t, smallSizes)
	r := mustRun(t, i, i.Issue(customer, origin), origin)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := readAll(ctx, r.Reader())
	wantKind(t, err, errkind.Canceled, domain.RunUnknown)
}
