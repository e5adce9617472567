package node

import (
	"time"

	"github.com/crocusspread/crocusspread/core/admission"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/routing"
)

func (n *Node) buildAdmission() {
	shares := admission.NewShares(n.self.ID, n.self.Place.FailureDomain)
	n.admission = admission.New(n.cfg.Admission, shares, n, admissionMetrics{n}, time.Now)
}

// Headroom implements admission.Capacity.
func (n *Node) Headroom(req *gateway.AdmitRequest) admission.Headroom {
	s := n.snapshot.Load()
	r := routing.Request{
		Target: req.Target, Allowed: s.Regions().Set(req.Access.AllowsRegion), PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens,
	}
	return admission.Headroom(s.Headroom(&r))
}

// shareLimits updates the node's shares of the customers' limits and publishes their
// demands.
func (n *Node) shareLimits(now time.Time) {
	demands := n.admission.Update(now, fleetOf(n.group.View()), n.limitsOf)
	if len(demands) > 0 {
		n.group.SetDemands(now, demands)
	}
	n.metrics.Gauge("admission.waiting", int64(n.admission.QueueLength()))
	for _, s := range n.admission.Customers() {
		n.metrics.Gauge("admission.share.concurrency."+string(s.Customer), int64(s.Share.Concurrency))
		n.metrics.Gauge("admission.share.tokens_per_second."+string(s.Customer), int64(s.Share.TokensPerSecond))
	}
}

// limitsOf returns the limits of a customer in the current lists; zero if there are
// none.
func (n *Node) limitsOf(id domain.CustomerID) lists.Limits {
	if s := n.holder.Current(); s != nil {
		if access, ok := s.Customer(id); ok {
			return access.Plan.Limits
		}
	}
	return lists.Limits{}
}

// fleetOf converts the membership view for admission.
func fleetOf(v *membership.View) admission.Fleet {
	f := admission.Fleet{KnownOwnNodes: len(v.PeerIDs) + 1, Demands: v.Demands}
	for i := range v.LocalNodes {
		f.OwnNodes = append(f.OwnNodes, v.LocalNodes[i].ID)
	}
	for i := range v.OtherDomains {
		d := &v.OtherDomains[i]
		f.OtherDomains = append(f.OtherDomains, admission.Domain{Name: d.Place.FailureDomain, Nodes: d.LiveNodes, Reachable: d.Reachable})
	}
	return f
}

// admissionMetrics records the metrics of admission control.
type admissionMetrics struct{ n *Node }

// Admitted implements admission.Observer.
func (m admissionMetrics) Admitted(c admission.Class, d time.Duration) {
	m.n.metrics.Observe("admission.wait_us."+c.String(), d)
}

// Refused implements admission.Observer.
func (m admissionMetrics) Refused(c admission.Class, err error) {
	m.n.metrics.Count("admission.refused."+c.String()+"."+string(errkind.From(err).Kind), 1)
}
