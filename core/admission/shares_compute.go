package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
)

// fleetNodes returns the number of nodes that may take part in the division.
func (s *Shares) fleetNodes() int {
	n := 0
	for _, c := range s.nodes {
		n += c
	}
	return n
}

func (s *Shares) computeShare(now time.Time, customer domain.CustomerID, limits lists.Limits, d *customerDemand) Share {
	var out Share
	if limits.Concurrency > 0 {
		out.Concurrency = s.concurrency(now, customer, limits.Concurrency, d)
	}
	if limits.TokensPerSecond > 0 {
		out.TokensPerSecond = s.rate(now, float64(limits.TokensPerSecond), d)
	}
	return out
}

// concurrency returns the number of requests that this node may have in flight. An
// indivisible unit is usable only when the turn began at least turnGap ago, so that the
// node whose turn ended has noticed.
func (s *Shares) concurrency(now time.Time, customer domain.CustomerID, limit int, d *customerDemand) int {
	turn := turnAt(now)
	share := s.concurrencyInTurn(now, customer, limit, d, turn)
	if previousTurn := turnAt(now.Add(-turnGap)); previousTurn != turn {
		share = min(share, s.concurrencyInTurn(now, customer, limit, d, previousTurn))
	}
	return share
}

func turnAt(t time.Time) int64 { return t.UnixNano() / int64(turnLength) }

func (s *Shares) concurrencyInTurn(now time.Time, customer domain.CustomerID, limit int, d *customerDemand, turn int64) int {
	equalShare := limit / s.fleetNodes()
	domains := s.domainClaims(now, d, false)
	shares := divide(float64(limit), s.fleetNodes(), domains)
	domainShare := roundShares(shares, domains, string(customer), turn)[0]
	if others := demandOf(domains[1:]); domainShare == 0 && others < float64(limit) {
		domainShare = 1
	}
	domainShare = max(domainShare, equalShare*s.nodes[s.domain])
	nodes := s.nodeClaims(now, d, false)
	shares = divide(float64(domainShare), s.nodes[s.domain], nodes)
	share := roundShares(shares, nodes, string(customer), turn)[0]
	// The other nodes leave part of the limit unused: one request may run immediately.
	if share == 0 && demandOf(nodes[1:]) < float64(domainShare) {
		share = 1
	}
	return max(share, equalShare, int(unsettledAllowance(float64(limit), domains, nodes)))
}

// unsettledAllowance returns what a demand may use before it has settled, in addition to
// the equal share: at most half of what the known demands leave.
func unsettledAllowance(limit float64, domains, nodes []claim) float64 {
	remaining := limit - demandOf(domains[1:]) - demandOf(nodes[1:])
	return max(min(limit/unsettledDivisor, remaining/2), 0)
}

// settledSince returns the time since which a demand must have been published to count.
func (s *Shares) settledSince(now time.Time) time.Time {
	return now.Add(-baseSettleTime - time.Duration(s.fleetNodes())*settleTimePerNode)
}

// rate returns the tokens per second that this node may use.
func (s *Shares) rate(now time.Time, limit float64, d *customerDemand) float64 {
	equalShare := limit / float64(s.fleetNodes())
	domains, nodes := s.domainClaims(now, d, true), s.nodeClaims(now, d, true)
	domainShare := divide(limit, s.fleetNodes(), domains)[0]
	domainShare = max(domainShare, equalShare*float64(s.nodes[s.domain]))
	share := divide(domainShare, s.nodes[s.domain], nodes)[0]
	return max(share, equalShare, unsettledAllowance(limit, domains, nodes))
}

func demandOf(claims []claim) float64 {
	sum := 0.0
	for _, c := range claims {
		sum += c.demand
	}
	return sum
}

// domainClaims returns the failure domains' claims; the first is this node's domain.
func (s *Shares) domainClaims(now time.Time, d *customerDemand, rate bool) []claim {
	since := s.settledSince(now)
	own := claim{party: membership.DomainDemandOrigin(s.domain), nodes: s.nodes[s.domain], demand: d.domain.min(since)}
	if rate {
		own.demand = d.domainRate.min(since)
	}
	claims := []claim{own}
	if len(s.nodes) == 1 {
		claims[0].demand = 1
		return claims
	}
	for name, nodes := range s.nodes {
		if name != s.domain {
			claims = append(claims, d.claimOf(membership.DomainDemandOrigin(name), nodes, rate))
		}
	}
	return claims
}

// nodeClaims returns the claims of the nodes of this node's domain; the first is this
// node's.
func (s *Shares) nodeClaims(now time.Time, d *customerDemand, rate bool) []claim {
	since := s.settledSince(now)
	own := claim{party: s.self, nodes: 1, demand: d.own.min(since)}
	if rate {
		own.demand = d.ownRate.min(since)
	}
	claims := []claim{own}
	for party := range d.received {
		if _, isDomain := membership.DemandOriginDomain(party); !isDomain {
			claims = append(claims, d.claimOf(party, 1, rate))
		}
	}
	return claims
}

func (d *customerDemand) claimOf(party domain.NodeID, nodes int, rate bool) claim {
	r := d.received[party]
	if rate {
		return claim{party: party, nodes: nodes, demand: float64(r.TokensPerSecond)}
	}
	return claim{party: party, nodes: nodes, demand: float64(r.InFlight + r.Waiting), inUse: float64(r.InFlight)}
}
