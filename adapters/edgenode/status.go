package edgenode

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

// metricsHandler serves the status of the node, and its metrics at all other paths.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.status(time.Now())) // the operator may have disconnected
	})
	mux.Handle("/", telemetry.Handler(n.metrics.Registry))
	return mux
}

// status returns the fleet as the node sees it: its members, and the upstreams of its region with the
// reason why they get no requests, or only some.
func (n *Node) status(now time.Time) adminapi.Status {
	self := n.members.Self()
	st := adminapi.Status{
		Node: self.ID, Incarnation: strconv.FormatUint(uint64(self.Incarnation), 16), Place: self.Place, State: self.State,
		Now: now, UptimeMS: now.Sub(n.startedAt).Milliseconds(), InFlight: int(n.inFlight()),
		Lists:    adminapi.Lists{Version: domain.ListsVersion(n.state.version()), AgeMS: -1, ConfirmedMS: n.state.operatorAge().Milliseconds()},
		Platform: adminapi.Platform{KVAgeMS: n.state.entriesAge().Milliseconds(), VMListAgeMS: -1},
	}
	if n.strictKeys() {
		age := n.proofAgeMS()
		st.Lists.ProofMS = &age
	}
	alive := make(map[domain.NodeID]bool)
	for _, m := range n.members.Alive(now) {
		alive[m.ID] = true
	}
	for _, m := range n.members.Known() {
		st.Members = append(st.Members, memberStatus(&m, alive[m.ID]))
	}
	for _, u := range n.catalog.Statuses(now) {
		st.Upstreams = append(st.Upstreams, upstreamStatus(now, &u))
	}
	return st
}

func memberStatus(m *peers.Member, alive bool) adminapi.Member {
	row := adminapi.Member{Node: m.ID, Incarnation: strconv.FormatUint(uint64(m.Incarnation), 16), Place: m.Place, State: m.State,
		PeerAddress: m.PeerAddress, CallerAddress: m.EntryAddress}
	if !alive {
		row.AgeMS = -1
	}
	return row
}

func upstreamStatus(now time.Time, u *instances.Status) adminapi.Upstream {
	kind := domain.TargetService
	if len(u.Models) > 0 {
		kind = domain.TargetModel
	}
	row := adminapi.Upstream{ID: u.ID, Kind: kind.String(), Targets: []string{u.Service}, Address: u.Address, Reason: u.Availability.String(),
		Running: u.InFlight + u.OthersInFlight, Slots: u.Slots, InFlight: u.InFlight, AgeMS: -1}
	if !u.Until.IsZero() {
		row.EndsInMS = max(0, u.Until.Sub(now).Milliseconds())
	}
	return row
}
