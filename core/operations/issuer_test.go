package operations

import (
	"errors"
	"flag"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const customer = domain.CustomerID("acme")

var (
	origin      = time.Now()
	executorA   = ExecutorRef{"node-a", 1}
	smallConfig = IssuerConfig{
		Shards: 1, FirstUse: time.Minute, MaxRun: time.Minute, Retention: 10 * time.Minute,
		MaxRecords: 4, MaxAnswerBytes: 4 << 10, MaxTotalBytes: 8 << 10,
	}
)

// TestMain sets the default seed, number and length of the property-based tests;
// flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

func at(d time.Duration) time.Time { return origin.Add(d) }

func newIssuer(t testing.TB, c IssuerConfig) *Issuer {
	t.Helper()
	i, err := NewIssuer("node-i", 7, origin, c)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func mustRun(t testing.TB, i *Issuer, id domain.OperationID, now time.Time) *Run {
	t.Helper()
	b, err := i.Begin(id, customer, 1, now)
	if err != nil || b.Run == nil {
		t.Fatalf("Begin = %+v, %v, want a run", b, err)
	}
	return b.Run
}

func wantKind(t testing.TB, err error, k errkind.Kind, run domain.Run) {
	t.Helper()
	if !errors.Is(err, errkind.Of(k)) || errkind.From(err).Verdict() != run {
		t.Fatalf("error %v, want kind %s with run %s", err, k, run)
	}
}

func TestInvalidIDIsRejected(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := string(i.Issue(customer, at(time.Second)))
	p, err := ParseID(domain.OperationID(id))
	if err != nil || p.Node != "node-i" || p.Incarnation != 7 || p.Issued != time.Second || !i.IsIssuerOf(p) {
		t.Fatalf("ParseID = %+v, %v", p, err)
	}
	macSeparator := strings.LastIndexByte(id, '.')
	cases := []struct {
		name, id string
		customer domain.CustomerID
		kind     errkind.Kind
		run      domain.Run
	}{
		{"another customer", id, "other", errkind.BadRequest, domain.RunNo},
		{"changed MAC", id[:macSeparator+1] + strings.Repeat("A", len(id)-macSeparator-1), customer, errkind.BadRequest, domain.RunNo},
		{"changed sequence", strings.Replace(id, ".7.1.", ".7.2.", 1), customer, errkind.BadRequest, domain.RunNo},
		{"changed time", id[:macSeparator] + "0" + id[macSeparator:], customer, errkind.BadRequest, domain.RunNo},
		{"malformed", "op1.x", customer, errkind.BadRequest, domain.RunNo},
		{"issuer restarted", strings.Replace(id, ".7.", ".8.", 1), customer, errkind.OperationLost, domain.RunUnknown},
		{"another issuer", strings.Replace(id, "node-i", "node-j", 1), customer, errkind.WrongIncarnation, domain.RunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := i.Begin(domain.OperationID(c.id), c.customer, 1, at(time.Second))
			wantKind(t, err, c.kind, c.run)
			_, err = i.Status(domain.OperationID(c.id), c.customer, at(time.Second))
			wantKind(t, err, c.kind, c.run)
		})
	}
}

func TestUnusedIDByAge(t *testing.T) {
	cases := []struct {
		name string
		age  time.Duration
		kind errkind.Kind // empty: the operation starts
		run  domain.Run
	}{
		{"within the first-use window", time.Minute, "", ""},
		{"after the first-use window", time.Minute + 1, errkind.OperationNotRun, domain.RunNo},
		{"before any record can be evicted", 10*time.Minute - 1, errkind.OperationNotRun, domain.RunNo},
		{"after its record may have been evicted", 10 * time.Minute, errkind.OperationExpired, domain.RunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newIssuer(t, smallConfig)
			id := i.Issue(customer, at(time.Hour))
			b, err := i.Begin(id, customer, 1, at(time.Hour+c.age))
			if c.kind == "" {
				if err != nil || b.Run == nil {
					t.Fatalf("Begin = %+v, %v", b, err)
				}
				return
			}
			wantKind(t, err, c.kind, c.run)
			if s, err := i.Status(id, customer, at(time.Hour+c.age)); err != nil || s.Run != c.run {
				t.Fatalf("Status = %+v, %v", s, err)
			}
		})
	}
}

func TestDuplicateAfterNotRunVerdictCannotStart(t *testing.T) {
	for _, recordsFull := range []bool{false, true} {
		i := newIssuer(t, smallConfig)
		id := i.Issue(customer, origin)
		for n := 0; recordsFull && n < smallConfig.MaxRecords; n++ {
			mustRun(t, i, i.Issue(customer, origin), origin)
		}
		if s, err := i.Status(id, customer, origin); err != nil || s.Run != domain.RunNo {
			t.Fatalf("Status = %+v, %v", s, err)
		}
		_, err := i.Begin(id, customer, 1, origin)
		wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
	}
}

func TestDuplicateAfterOverloadCannotStart(t *testing.T) {
	i := newIssuer(t, smallConfig)
	unused := i.Issue(customer, origin)
	var runs []*Run
	for range smallConfig.MaxRecords {
		runs = append(runs, mustRun(t, i, i.Issue(customer, origin), origin))
	}
	refused := i.Issue(customer, origin)
	_, err := i.Begin(refused, customer, 1, origin)
	wantKind(t, err, errkind.Overloaded, domain.RunNo)
	for _, r := range runs {
		r.Close(origin)
	}
	i.shards[0].config.Retention = time.Minute / 2 // frees the records within the first-use window
	if retained := i.Expire(at(time.Minute / 2)); retained != 0 {
		t.Fatalf("Expire = %d, want 0", retained)
	}
	i.shards[0].config.Retention = smallConfig.Retention
	for _, id := range []domain.OperationID{refused, unused} {
		_, err = i.Begin(id, customer, 1, at(time.Minute/2))
		wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
	}
}

func TestStaleTimeDoesNotStartInvalidatedID(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := i.Issue(customer, origin)
	if s, _ := i.Status(id, customer, at(2*time.Minute)); s.Run != domain.RunNo {
		t.Fatalf("Status = %+v", s)
	}
	_, err := i.Begin(id, customer, 1, at(time.Second))
	wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
}

func TestDispatchAfterMaxRunIsRejected(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := i.Issue(customer, origin)
	r := mustRun(t, i, id, origin)
	_, err := r.Dispatch(executorA, at(time.Minute+1))
	wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
	if s, _ := i.Status(id, customer, at(time.Minute+1)); s.Run != domain.RunNo {
		t.Fatalf("Status = %+v", s)
	}
}

func TestRepeatWithDifferentRequestConflicts(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := i.Issue(customer, origin)
	mustRun(t, i, id, origin)
	_, err := i.Begin(id, customer, 2, origin)
	wantKind(t, err, errkind.KeyConflict, domain.RunNo)
}

func TestRepeatAfterEndOfRun(t *testing.T) {
	cases := []struct {
		name string
		end  func(r *Run) error
		kind errkind.Kind // error of a repeat; empty: the repeat joins
		run  domain.Run
	}{
		{"not run", func(r *Run) error { return r.EndNotRun(errkind.New(errkind.NoCapacity, "none"), origin) }, errkind.NoCapacity, domain.RunNo},
		{"abandoned before dispatch", func(r *Run) error { r.Close(origin); return nil }, errkind.OperationNotRun, domain.RunNo},
		{"abandoned after dispatch", func(r *Run) error { _, err := r.Dispatch(executorA, origin); r.Close(origin); return err }, errkind.OperationLost, domain.RunUnknown},
		{"executor lost", func(r *Run) error {
			_, err := r.Dispatch(executorA, origin)
			return errors.Join(err, r.EndUnknown(errkind.New(errkind.PeerUnreachable, "gone"), origin))
		}, errkind.PeerUnreachable, domain.RunUnknown},
		{"answer lost", func(r *Run) error { _, err := r.Dispatch(executorA, origin); return errors.Join(err, r.EndRan(origin)) }, errkind.AnswerNotKept, domain.RunYes},
		{"complete", func(r *Run) error {
			_, err := r.Dispatch(executorA, origin)
			return errors.Join(err, r.WriteHead(answer.Head{}), r.Complete(origin))
		}, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newIssuer(t, smallConfig)
			id := i.Issue(customer, origin)
			r := mustRun(t, i, id, origin)
			if err := c.end(r); err != nil {
				t.Fatal(err)
			}
			b, err := i.Begin(id, customer, 1, origin)
			if c.kind == "" {
				if err != nil || b.Joined == nil {
					t.Fatalf("Begin = %+v, %v", b, err)
				}
				return
			}
			wantKind(t, err, c.kind, c.run)
			if _, err := r.Dispatch(executorA, origin); err == nil {
				t.Fatal("Dispatch succeeded after the end of the run")
			}
		})
	}
}

func TestRefusedAfterHeadIsRejected(t *testing.T) {
	i := newIssuer(t, smallConfig)
	r := mustRun(t, i, i.Issue(customer, origin), origin)
	dispatchWithHead(t, r)
	wantKind(t, r.MarkRefused(), errkind.Internal, domain.RunUnknown)
}

func TestConcurrentRepeatsStartOneRun(t *testing.T) {
	i := newIssuer(t, smallConfig)
	id := i.Issue(customer, origin)
	const repeats = 32
	began := make(chan BeginResult)
	for range repeats {
		go func() {
			b, err := i.Begin(id, customer, 1, origin)
			if err != nil {
				t.Error(err)
			}
			began <- b
		}()
	}
	runs := 0
	for range repeats {
		if (<-began).Run != nil {
			runs++
		}
	}
	if runs != 1 {
		t.Fatalf("got %d runs, want 1", runs)
	}
}
