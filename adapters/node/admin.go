package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/membership"
)

// adminHandler returns the handler of the admin address: status, explanations,
// metrics, liveness, readiness and profiles.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) { adminJSON(w, http.StatusOK, n.status(time.Now())) })
	mux.HandleFunc("GET "+adminapi.ExplainPath+"{id}", n.serveExplanation)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.metrics.Registry, w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	mux.HandleFunc("GET /readyz", n.serveReadiness)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// adminJSON writes a JSON response.
func adminJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	state := n.lifecycle.State()
	if state != domain.NodeServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, state)
}

func (n *Node) serveExplanation(w http.ResponseWriter, r *http.Request) {
	id := domain.RequestID(r.PathValue("id"))
	rec, ok := n.explain.Get(id)
	if !ok {
		adminJSON(w, http.StatusNotFound, adminapi.Failure{
			Kind: errkind.NotFound, Message: fmt.Sprintf("request %q is not among the latest requests of this node", id), Run: domain.RunUnknown,
		})
		return
	}
	kind, target, _ := strings.Cut(rec.Target, "/")
	e := adminapi.Explanation{
		Request: rec.RequestID, Node: n.self.ID, Customer: rec.Customer, Plan: rec.Plan, Kind: kind, Target: target, ListsVersion: rec.ListsVersion,
		StartedAt: rec.ArrivedAt, Result: adminapi.Result{Done: true, Run: rec.Run, TotalMS: milliseconds(rec.TotalDuration), Place: rec.Place, Upstream: rec.Upstream},
	}
	if rec.Outcome != "ok" {
		e.Result.Kind = errkind.Kind(rec.Outcome)
	}
	for _, s := range rec.Steps {
		e.Steps = append(e.Steps, adminapi.Step{OffsetMS: milliseconds(s.At.Sub(rec.ArrivedAt)), Event: s.Name, Detail: s.Detail})
	}
	adminJSON(w, http.StatusOK, e)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / milli }

// status returns the status of the node.
func (n *Node) status(now time.Time) adminapi.Status {
	view := n.group.View()
	st := adminapi.Status{
		Node: n.self.ID, Incarnation: strconv.FormatUint(uint64(n.self.Incarnation), 16), Place: n.self.Place,
		State: n.lifecycle.State(), Now: now, UptimeMS: now.Sub(n.started).Milliseconds(), InFlight: int(n.work.requests.Load()),
		Lists: n.listsStatus(now),
		Platform: adminapi.Platform{
			KVAgeMS: ageMS(now, n.kvRespondedAt.Load()), VMListAgeMS: ageMS(now, n.vmsRespondedAt.Load()),
		},
	}
	for _, m := range view.LocalNodes {
		st.Members = append(st.Members, n.member(now, m))
	}
	for i := range view.OtherDomains {
		d := &view.OtherDomains[i]
		for _, m := range d.Nodes {
			st.Members = append(st.Members, n.member(now, m))
		}
		st.Domains = append(st.Domains, domainStatus(now, d)...)
	}
	st.Upstreams = n.upstreamStatus(now)
	st.Orders = n.ordersStatus()
	return st
}

// ageMS returns the milliseconds since a time, or -1 for zero.
func ageMS(now time.Time, unixNano int64) int64 {
	if unixNano == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, unixNano)).Milliseconds()
}

func (n *Node) listsStatus(now time.Time) adminapi.Lists {
	var out adminapi.Lists
	if s := n.holder.Current(); s != nil {
		c := s.Source.Change
		out = adminapi.Lists{Version: s.Version, ChangeID: c.ID, Author: c.Author, ChangedAt: c.Time, AgeMS: ageMS(now, n.listsAdoptedAt.Load())}
	}
	out.ConfirmedMS = ageMS(now, n.kvRespondedAt.Load())
	if reason := n.lastRejection.Load(); reason != nil {
		out.RejectionReason = *reason
	}
	return out
}

// member returns the status of a member. Its age is -1 if this node has received no
// heartbeat from it directly.
func (n *Node) member(now time.Time, m domain.NodeRef) adminapi.Member {
	out := adminapi.Member{
		Node: m.ID, Incarnation: strconv.FormatUint(uint64(m.Incarnation), 16), Place: m.Place, State: m.State,
		PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress, AgeMS: -1,
	}
	if m.ID == n.self.ID {
		out.ListsVersion, out.AgeMS = n.holder.Version(), 0
	} else if known, ok := n.registry.lastHeartbeat(m.ID); ok {
		out.ListsVersion, out.AgeMS = known.version, now.Sub(known.receivedAt).Milliseconds()
	}
	return out
}

func domainStatus(now time.Time, d *membership.Domain) []adminapi.Domain {
	var out []adminapi.Domain
	for _, t := range d.Targets {
		out = append(out, adminapi.Domain{
			Place: d.Place, Kind: t.Target.Kind.String(), Target: t.Target.Name, Capacity: int(t.Slots), Free: int(t.Free),
			ExpectedWaitMS: int64(t.WaitMillis), AgeMS: d.Age(now).Milliseconds(),
		})
	}
	return out
}

func (n *Node) upstreamStatus(now time.Time) []adminapi.Upstream {
	var out []adminapi.Upstream
	s := n.snapshot.Load()
	for i := range int32(s.UpstreamCount()) {
		u := s.Upstream(i)
		row := adminapi.Upstream{
			ID: u.Ref.ID, Kind: u.Ref.Target.Kind.String(), Address: u.Ref.Address, State: u.State,
			Running: u.Running, Waiting: u.Waiting, Slots: u.Slots, AgeMS: n.upstreamStates.reportAgeMS(now, u.Ref.ID),
		}
		if u.Work != nil {
			row.InFlight = u.Work.InFlight()
		}
		for _, t := range u.Targets {
			row.Targets = append(row.Targets, t.Name)
		}
		out = append(out, row)
	}
	return out
}
