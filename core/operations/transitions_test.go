package operations

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	transitionsFile = "../../spec/operations.transitions"
	specification   = "../../spec/operations.pml"
)

// readTransitions returns the next state, indexed by "state event".
func readTransitions(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(transitionsFile)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] != "#" {
			rows[f[0]+" "+f[1]] = f[2]
		}
	}
	return rows
}

// operationInState is one operation of an issuer, brought into a given state.
type operationInState struct {
	issuer *Issuer
	id     domain.OperationID
	run    *Run
}

func (o *operationInState) state() State {
	s := o.issuer.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[1]; ok {
		return r.State()
	}
	return Issued
}

// apply triggers one event through the public interface.
func (o *operationInState) apply(e Event) error {
	if o.run == nil && e != Start && e != Burn {
		return notRunError() // there is no Run
	}
	switch e {
	case Start:
		b, err := o.issuer.Begin(o.id, customer, 1, origin)
		if b.Run != nil {
			o.run = b.Run
		}
		return err
	case Dispatch:
		_, err := o.run.Dispatch(executorA, origin)
		return err
	case Refuse:
		return o.run.MarkRefused()
	case Complete:
		_ = o.run.WriteHead(answer.Head{})
		return o.run.Complete(origin)
	case Lose:
		return o.run.EndUnknown(nil, origin)
	}
	if o.run != nil {
		return o.run.EndNotRun(nil, origin)
	}
	_, err := o.issuer.Status(o.id, customer, origin)
	return err
}

var eventsToReach = map[State][]Event{
	Issued:     nil,
	Started:    {Start},
	Dispatched: {Start, Dispatch},
	Done:       {Start, Dispatch, Complete},
	NotRun:     {Start, Burn},
	Unknown:    {Start, Dispatch, Lose},
}

func TestTransitionsEqualSpecification(t *testing.T) {
	rows := readTransitions(t)
	if len(rows) != len(transitions) {
		t.Errorf("the file has %d rows and the code has %d", len(rows), len(transitions))
	}
	for from, path := range eventsToReach {
		for e := range Event(len(eventNames)) {
			name := from.String() + " " + e.String()
			want, allowed := rows[name]
			t.Run(name, func(t *testing.T) {
				i := newIssuer(t, smallConfig)
				o := &operationInState{issuer: i, id: i.Issue(customer, origin)}
				for _, step := range path {
					if err := o.apply(step); err != nil {
						t.Fatal(err)
					}
				}
				runBefore := o.run
				err := o.apply(e)
				if allowed && (err != nil || o.state().String() != want) {
					t.Fatalf("got state %s, error %v, want %s", o.state(), err, want)
				}
				if !allowed && (o.state() != from || o.run != runBefore) {
					t.Fatalf("got state %s, want no transition", o.state())
				}
				if !allowed && e != Start && err == nil {
					t.Fatal("got no error, want the event rejected")
				}
			})
		}
	}
}

func TestSpecificationMatchesTransitionFile(t *testing.T) {
	text, err := os.ReadFile(specification)
	if err != nil {
		t.Fatal(err)
	}
	used := make(map[string]string)
	for _, m := range regexp.MustCompile(`MOVE\((\w+), (\w+), (\w+)\)`).FindAllStringSubmatch(string(text), -1) {
		used[m[1]+" "+m[2]] = m[3]
	}
	delete(used, "from event") // the macro itself
	for name, to := range readTransitions(t) {
		if used[name] != to {
			t.Errorf("the specification has %q to %q, the transition file has %q", name, used[name], to)
		}
		delete(used, name)
	}
	for name := range used {
		t.Errorf("row %s of the specification is missing in the transition file", name)
	}
}
