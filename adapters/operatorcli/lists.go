package operatorcli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/crocusspread/crocusspread/adapters/listfiles"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

// readBackInterval is the time between attempts to read back a change.
const readBackInterval = 300 * time.Millisecond

// Counts are the numbers of entries in the lists.
type Counts struct {
	Customers int `json:"customers"`
	Plans     int `json:"plans"`
	Regions   int `json:"regions"`
	Services  int `json:"services"`
}

// WriteText implements Result.
func (c *Counts) WriteText(w io.Writer) {
	fmt.Fprintf(w, "the lists are valid: %d customers, %d plans, %d regions, %d services\n",
		c.Customers, c.Plans, c.Regions, c.Services)
}

// Validate reads the lists in dir and checks them without accessing the key-value
// service.
func Validate(dir string) (*Counts, error) {
	doc, err := listfiles.Load(dir)
	if err != nil {
		return nil, err
	}
	return &Counts{
		Customers: len(doc.Customers),
		Plans:     len(doc.Plans),
		Regions:   len(doc.Regions),
		Services:  len(doc.Services),
	}, nil
}

// Difference describes what applying the lists would change.
type Difference struct {
	// Base is the current version in the key-value service. Passing it to Apply ensures that
	// the lists were not changed in between.
	Base       domain.ListsVersion `json:"base"`
	Difference []string            `json:"difference"`
}

// WriteText implements Result.
func (d *Difference) WriteText(w io.Writer) {
	if len(d.Difference) == 0 {
		fmt.Fprintf(w, "no changes compared to version %d\n", d.Base)
		return
	}
	fmt.Fprintf(w, "changes compared to version %d (apply with --base %d):\n", d.Base, d.Base)
	writeLines(w, d.Difference)
}

func writeLines(w io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(w, "  %s\n", line)
	}
}

// Plan compares the lists in dir with those in the key-value service.
func Plan(ctx context.Context, kv ports.KV, dir string) (*Difference, error) {
	doc, err := listfiles.Load(dir)
	if err != nil {
		return nil, err
	}
	current, err := lists.Read(ctx, kv)
	if err != nil {
		return nil, err
	}
	return &Difference{Base: current.Version, Difference: lists.Diff(&current.Document, doc)}, nil
}

// ApplyRequest contains the parameters of Apply.
type ApplyRequest struct {
	Dir    string
	Author string
	Reason string
	// Base is the version that the operator edited; nil means the current version,
	// whichever it is.
	Base *domain.ListsVersion
	Now  time.Time
}

// ApplyResult is the result of an accepted change.
type ApplyResult struct {
	lists.Outcome
}

// WriteText implements Result.
func (a *ApplyResult) WriteText(w io.Writer) {
	if a.Unchanged {
		fmt.Fprintf(w, "version %d already has this content; nothing was written\n", a.Change.Version)
		return
	}
	fmt.Fprintf(w, "version %d accepted (change %s)\n", a.Change.Version, a.Change.ID)
	if a.ReadBack {
		fmt.Fprintln(w, "the response to the write was lost; the change was found in the service")
	}
	writeLines(w, a.Change.Difference)
}

// Apply writes the lists in req.Dir to the key-value service.
func Apply(ctx context.Context, kv ports.KV, req ApplyRequest) (*ApplyResult, error) {
	doc, err := listfiles.Load(req.Dir)
	if err != nil {
		return nil, err
	}
	applier := lists.Applier{KV: kv, Pause: waitBeforeReadBack}
	outcome, err := applier.Apply(ctx, lists.Proposal{
		ChangeID: ulid.Make().String(),
		Author:   req.Author,
		Reason:   req.Reason,
		Time:     req.Now,
		Document: *doc,
		Base:     req.Base,
	})
	if err != nil {
		return nil, err
	}
	return &ApplyResult{Outcome: *outcome}, nil
}

func waitBeforeReadBack(ctx context.Context) error {
	timer := time.NewTimer(readBackInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Trail is the audit trail of list changes, newest first.
type Trail struct {
	Changes []lists.Change `json:"changes"`
}

// WriteText implements Result.
func (t *Trail) WriteText(w io.Writer) {
	if len(t.Changes) == 0 {
		fmt.Fprintln(w, "the key-value service contains no lists")
	}
	for _, c := range t.Changes {
		fmt.Fprintf(w, "version %d  %s  %s  %s  (change %s)\n",
			c.Version, c.Time.UTC().Format(time.RFC3339), c.Author, c.Reason, c.ID)
		writeLines(w, c.Difference)
	}
}

// History returns up to limit of the latest changes, or all changes if limit is zero.
func History(ctx context.Context, kv ports.KV, limit int) (*Trail, error) {
	changes, err := lists.History(ctx, kv, limit)
	if err != nil {
		return nil, err
	}
	return &Trail{Changes: changes}, nil
}
