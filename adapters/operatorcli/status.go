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

// FleetStatus is the status reported by the queried nodes.
type FleetStatus struct {
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is the status of one node, or the error of the status request.
type NodeStatus struct {
	Address string           `json:"address"`
	Status  *adminapi.Status `json:"status,omitempty"`
	Error   *Failure         `json:"error,omitempty"`
}

// Status queries the status of all nodes. Nodes that fail to respond are included in
// the result, and the returned error then has the kind of the first failure.
func (a Admin) Status(ctx context.Context, addresses []string) (*FleetStatus, error) {
	if err := requireAddresses(addresses); err != nil {
		return nil, err
	}
	fleet := new(FleetStatus)
	var firstErr error
	failed := 0
	for _, r := range queryAll[adminapi.Status](ctx, a, addresses, adminapi.StatusPath) {
		if r.err == nil {
			fleet.Nodes = append(fleet.Nodes, NodeStatus{Address: r.address, Status: r.value})
			continue
		}
		fleet.Nodes = append(fleet.Nodes, NodeStatus{Address: r.address, Error: newFailure(r.err)})
		failed++
		if firstErr == nil {
			firstErr = r.err
		}
	}
	if firstErr == nil {
		return fleet, nil
	}
	return fleet, errkind.New(errkind.From(firstErr).Kind, "%d of %d nodes returned no status; first error: %w", failed, len(addresses), firstErr)
}

// WriteText implements Result.
func (f *FleetStatus) WriteText(w io.Writer) {
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
		s.Node, s.Incarnation, formatPlace(s.Place), s.State, formatAge(s.UptimeMS), s.InFlight)
	fmt.Fprintf(w, "lists version %d, adopted %s ago, confirmed %s ago\n",
		s.Lists.Version, formatAge(s.Lists.AgeMS), formatAge(s.Lists.ConfirmedMS))
	switch proof := s.Lists.ProofMS; {
	case proof == nil:
	case *proof < 0:
		fmt.Fprintln(w, "keys of client accounts: lists not proved current")
	default:
		fmt.Fprintf(w, "keys of client accounts: lists proved current %s ago\n", formatAge(*proof))
	}
	if s.Lists.RejectionReason != "" {
		fmt.Fprintf(w, "newer lists were rejected: %s\n", s.Lists.RejectionReason)
	}
	fmt.Fprintf(w, "platform: key-value service answered %s ago, VM list %s ago\n",
		formatAge(s.Platform.KVAgeMS), formatAge(s.Platform.VMListAgeMS))
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
			m.Node, formatPlace(m.Place), m.State, m.ListsVersion, m.PeerAddress, m.CallerAddress, formatAge(m.AgeMS))
	}
	flushTable(w)
}

func writeUpstreams(w io.Writer, upstreams []adminapi.Upstream) {
	fmt.Fprintln(w, "UPSTREAM\tTARGETS\tSTATE\tRUNNING\tWAITING\tSLOTS\tOWN\tADDRESS\tAGE")
	for _, u := range upstreams {
		fmt.Fprintf(w, "%s\t%s %s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			u.ID, u.Kind, strings.Join(u.Targets, ","), upstreamState(&u), u.Running, u.Waiting, u.Slots, u.InFlight, u.Address, formatAge(u.AgeMS))
	}
	flushTable(w)
}

// upstreamState returns the state of an upstream, or the reason why it gets no requests and when that ends.
func upstreamState(u *adminapi.Upstream) string {
	switch {
	case u.Reason == "":
		return string(u.State)
	case u.EndsInMS > 0:
		return u.Reason + " for " + formatAge(u.EndsInMS)
	}
	return u.Reason
}

func writeDomains(w io.Writer, domains []adminapi.Domain) {
	fmt.Fprintln(w, "DOMAIN\tTARGET\tCAPACITY\tFREE\tWAIT\tAGE")
	for _, d := range domains {
		fmt.Fprintf(w, "%s\t%s %s\t%d\t%d\t%s\t%s\n",
			formatPlace(d.Place), d.Kind, d.Target, d.Capacity, d.Free, formatAge(d.ExpectedWaitMS), formatAge(d.AgeMS))
	}
	flushTable(w)
}

// flushTable ends a table, so that the next one has its own column widths.
func flushTable(w io.Writer) {
	if table, ok := w.(*tabwriter.Writer); ok {
		table.Flush()
	}
}

func formatPlace(p domain.Place) string {
	return string(p.Region) + "/" + string(p.FailureDomain)
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
