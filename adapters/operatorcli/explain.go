package operatorcli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Explanations are the explanations of one request, one from each node that has a
// record of it.
type Explanations struct {
	Request domain.RequestID       `json:"request"`
	Nodes   []adminapi.Explanation `json:"nodes"`
}

// Explain queries all nodes for the explanation of a request. If no node has a record
// of the request, it returns an error of kind not_found if all nodes responded, and
// otherwise the first error of another kind, because that node might have one.
func (a Admin) Explain(ctx context.Context, addresses []string, id domain.RequestID) (*Explanations, error) {
	if err := requireAddresses(addresses); err != nil {
		return nil, err
	}
	explanations := &Explanations{Request: id}
	var failure error
	for _, r := range queryAll[adminapi.Explanation](ctx, a, addresses, adminapi.ExplainPath+string(id)) {
		switch {
		case r.err == nil:
			explanations.Nodes = append(explanations.Nodes, *r.value)
		case !isKind(r.err, errkind.NotFound) && failure == nil:
			failure = r.err
		}
	}
	switch {
	case len(explanations.Nodes) > 0:
		return explanations, nil
	case failure != nil:
		return nil, failure
	}
	return nil, errkind.New(errkind.NotFound, "none of %d nodes has a record of request %q", len(addresses), id)
}

// WriteText implements Result.
func (e *Explanations) WriteText(w io.Writer) {
	for _, n := range e.Nodes {
		writeExplanation(w, n)
	}
}

func writeExplanation(w io.Writer, e adminapi.Explanation) {
	fmt.Fprintf(w, "request %s at node %s: customer %s, plan %s, %s %s, lists version %d, started %s\n",
		e.Request, e.Node, e.Customer, e.Plan, e.Kind, e.Target, e.ListsVersion, e.StartedAt.UTC().Format(time.RFC3339Nano))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range e.Candidates {
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\n", formatPlace(c.Place), c.Upstream, selectionResult(c), formatScores(c.Scores))
	}
	table.Flush()
	for _, s := range e.Steps {
		fmt.Fprintf(w, "  +%.1fms %s %s\n", s.OffsetMS, s.Event, s.Detail)
	}
	writeResult(w, e.Result)
}

func selectionResult(c adminapi.Candidate) string {
	switch {
	case c.Chosen:
		return "chosen"
	case c.RejectedBy != "":
		return "excluded by " + c.RejectedBy
	}
	return "not chosen"
}

func formatScores(list []adminapi.Score) string {
	text := ""
	for _, s := range list {
		text += fmt.Sprintf("%s=%g ", s.Scorer, s.Value)
	}
	return text
}

func writeResult(w io.Writer, r adminapi.Result) {
	if !r.Done {
		fmt.Fprintln(w, "  still running")
		return
	}
	fmt.Fprintf(w, "  ended after %.1fms: run %s", r.TotalMS, r.Run)
	if r.Kind != "" {
		fmt.Fprintf(w, ", error %s", r.Kind)
	}
	if r.Place != (domain.Place{}) {
		fmt.Fprintf(w, ", at %s %s", formatPlace(r.Place), r.Upstream)
	}
	fmt.Fprintln(w)
}
