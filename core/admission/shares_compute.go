package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
)

// fleetNodes is the number of nodes that may take part in dividing.
func (s *Shares) fleetNodes() int {
	n := 0
	for _, c := range s.nodes {
		n += c
	}
	return n
}

func (s *Shares) compute(now time.Time, customer domain.CustomerID, limits lists.Limits, d *demands) Share {
	var out Share
	if limits.Concurrency > 0 {
		out.Concurrency = s.concurrency(now, customer, limits.Concurrency, d)
	}
	if limits.TokensPerSecond > 0 {
		out.TokensPerSecond = s.rate(now, float64(limits.TokensPerSecond), d)
	}
	return out
}

// concurrency returns the number of requests that this node may have in flight.
// What goes by turns is had only if the turn began some time ago, so that a node
// whose turn ends has noticed.
func (s *Shares) concurrency(now time.Time, customer domain.CustomerID, limit int, d *demands) int {
	turn := turnAt(now)
	share := s.inTurn(now, customer, limit, d, turn)
	if before := turnAt(now.Add(-turnGap)); before != turn {
		share = min(share, s.inTurn(now, customer, limit, d, before))
	}
	return share
}

func turnAt(t time.Time) int64 { return t.UnixNano() / int64(turnLength) }

func (s *Shares) inTurn(now time.Time, customer domain.CustomerID, limit int, d *demands, turn int64) int {
	part := limit / s.fleetNodes()
	domains := s.domainClaims(now, d, false)
	shares := divide(float64(limit), s.fleetNodes(), domains)
	ours := whole(shares, domains, string(customer), turn)[0]
	if others := demandOf(domains[1:]); ours == 0 && others < float64(limit) {
		ours = 1
	}
	ours = max(ours, part*s.nodes[s.domain])
	nodes := s.nodeClaims(now, d, false)
	shares = divide(float64(ours), s.nodes[s.domain], nodes)
	share := whole(shares, nodes, string(customer), turn)[0]
	// The others leave something over: one request may go on at once.
	if share == 0 && demandOf(nodes[1:]) < float64(ours) {
		share = 1
	}
	return max(share, part, int(early(float64(limit), domains, nodes)))
}

// early returns what a demand may use before it has settled, besides the equal
// part: at most half of what known demands leave.
func early(limit float64, domains, nodes []claim) float64 {
	left := limit - demandOf(domains[1:]) - demandOf(nodes[1:])
	return max(min(limit/earlyNodes, left/2), 0)
}

// settled returns the time since when a demand must have been published.
func (s *Shares) settled(now time.Time) time.Time {
	return now.Add(-settleAfter - time.Duration(s.fleetNodes())*settlePerNode)
}

// rate returns the tokens a second that this node may use.
func (s *Shares) rate(now time.Time, limit float64, d *demands) float64 {
	part := limit / float64(s.fleetNodes())
	domains, nodes := s.domainClaims(now, d, true), s.nodeClaims(now, d, true)
	ours := divide(limit, s.fleetNodes(), domains)[0]
	ours = max(ours, part*float64(s.nodes[s.domain]))
	share := divide(ours, s.nodes[s.domain], nodes)[0]
	return max(share, part, early(limit, domains, nodes))
}

func demandOf(claims []claim) float64 {
	sum := 0.0
	for _, c := range claims {
		sum += c.demand
	}
	return sum
}

// domainClaims returns the failure domains' claims, the own one first.
func (s *Shares) domainClaims(now time.Time, d *demands, rate bool) []claim {
	since := s.settled(now)
	own := claim{party: membership.DomainParty(s.domain), nodes: s.nodes[s.domain], demand: d.domain.lowest(since)}
	if rate {
		own.demand = d.domainRate.lowest(since)
	}
	claims := []claim{own}
	if len(s.nodes) == 1 {
		claims[0].demand = 1
		return claims
	}
	for name, nodes := range s.nodes {
		if name != s.domain {
			claims = append(claims, d.claimOf(membership.DomainParty(name), nodes, rate))
		}
	}
	return claims
}

// nodeClaims returns the claims of the own domain's nodes, the own one first.
func (s *Shares) nodeClaims(now time.Time, d *demands, rate bool) []claim {
	since := s.settled(now)
	own := claim{party: s.self, nodes: 1, demand: d.own.lowest(since)}
	if rate {
		own.demand = d.ownRate.lowest(since)
	}
	claims := []claim{own}
	for party := range d.heard {
		if _, whole := membership.PartyDomain(party); !whole {
			claims = append(claims, d.claimOf(party, 1, rate))
		}
	}
	return claims
}

func (d *demands) claimOf(party domain.NodeID, nodes int, rate bool) claim {
	r := d.heard[party]
	if rate {
		return claim{party: party, nodes: nodes, demand: float64(r.TokensPerSecond)}
	}
	return claim{party: party, nodes: nodes, demand: float64(r.InFlight + r.Waiting), held: float64(r.InFlight)}
}
