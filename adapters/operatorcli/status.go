package operatorcli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Fleet is what the asked nodes see.
type Fleet struct {
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is one node's status or the reason why it is not known.
type NodeStatus struct {
	Address string           `json:"address"`
	Status  *adminapi.Status `json:"status,omitempty"`
	Error   *Failure         `json:"error,omitempty"`
}

// Status asks every node. Nodes that do not answer are in the result too, and
// the error is then of the first failure's kind.
func (a Admin) Status(ctx context.Context, addresses []string) (*Fleet, error) {
	if err := checkAddresses(addresses); err != nil {
		return nil, err
	}
	fleet := new(Fleet)
	var first error
	failed := 0
	for _, r := range askAll[adminapi.Status](ctx, a, addresses, adminapi.StatusPath) {
		if r.err == nil {
			fleet.Nodes = append(fleet.Nodes, NodeStatus{Address: r.address, Status: r.value})
			continue
		}
		fleet.Nodes = append(fleet.Nodes, NodeStatus{Address: r.address, Error: newFailure(r.err)})
		failed++
		if first == nil {
			first = r.err
		}
	}
	if first == nil {
		return fleet, nil
	}
	return fleet, errkind.New(errkind.From(first).Kind, "%d of %d nodes gave no status; the first: %w", failed, len(addresses), first)
}

// WriteText implements Result.
func (f *Fleet) WriteText(w io.Writer) {
	for _, n := range f.Nodes {
		if n.Error != nil {
			fmt.Fprintf(w, "node at %s: %s: %s\n\n", n.Address, n.Error.Kind, n.Error.Message)
			continue
		}
		writeStatus(w, n.Status)
	}
}

func writeStatus(w io.Writer, s *adminapi.Status) {
	fmt.Fprintf(w, "node %s (incarnation %s) in %s: %s, up %s, %d requests in flight\n",
		s.Node, s.Incarnation, place(s.Place), s.State, age(s.UptimeMS), s.InFlight)
	fmt.Fprintf(w, "lists version %d, adopted %s ago, confirmed %s ago\n",
		s.Lists.Version, age(s.Lists.AgeMS), age(s.Lists.ConfirmedMS))
	if s.Lists.Refused != "" {
		fmt.Fprintf(w, "newer lists were refused: %s\n", s.Lists.Refused)
	}
	fmt.Fprintf(w, "platform: key-value service answered %s ago, VM list %s ago\n",
		age(s.Platform.KVAgeMS), age(s.Platform.VMListAgeMS))
	if s.Orders.State != "" {
		fmt.Fprintf(w, "orders to engines: this node is %s, the orderer is %s, %d engines are changing\n",
			s.Orders.State, cmp.Or(string(s.Orders.Orderer), "unknown"), s.Orders.Changing)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeMembers(table, s.Members)
	writeUpstreams(table, s.Upstreams)
	writeDomains(table, s.Domains)
	table.Flush()
	fmt.Fprintln(w)
}

func writeMembers(w io.Writer, members []adminapi.Member) {
	fmt.Fprintln(w, "MEMBER\tPLACE\tSTATE\tLISTS\tPEER\tCALLERS\tAGE")
	for _, m := range members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			m.Node, place(m.Place), m.State, m.ListsVersion, m.PeerAddress, m.CallerAddress, age(m.AgeMS))
	}
	flush(w)
}

func writeUpstreams(w io.Writer, upstreams []adminapi.Upstream) {
	fmt.Fprintln(w, "UPSTREAM\tTARGETS\tSTATE\tRUNNING\tWAITING\tSLOTS\tOWN\tADDRESS\tAGE")
	for _, u := range upstreams {
		fmt.Fprintf(w, "%s\t%s %s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			u.ID, u.Kind, strings.Join(u.Targets, ","), u.State, u.Running, u.Waiting, u.Slots, u.InFlight, u.Address, age(u.AgeMS))
	}
	flush(w)
}

func writeDomains(w io.Writer, domains []adminapi.Domain) {
	fmt.Fprintln(w, "DOMAIN\tTARGET\tCAPACITY\tFREE\tWAIT\tAGE")
	for _, d := range domains {
		fmt.Fprintf(w, "%s\t%s %s\t%d\t%d\t%s\t%s\n",
			place(d.Place), d.Kind, d.Target, d.Capacity, d.Free, age(d.ExpectedWaitMS), age(d.AgeMS))
	}
	flush(w)
}

// flush ends a table, so that the next one has columns of its own.
func flush(w io.Writer) {
	if table, ok := w.(*tabwriter.Writer); ok {
		table.Flush()
	}
}

func place(p domain.Place) string {
	return string(p.Region) + "/" + string(p.FailureDomain)
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
