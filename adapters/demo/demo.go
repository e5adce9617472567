// Package demo runs a small deployment in one process on loopback, prints example
// commands for it and checks it from the client side.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Names in the demo's lists, and settings of its simulated upstreams.
const (
	Model       = "demo-model"
	ServiceName = "booking"
	// LocalKey is the key of a customer whose plan allows both regions; the plan of
	// SouthKey allows only the south.
	LocalKey = "demo-key"
	SouthKey = "south-key"

	north = domain.Region("north")
	south = domain.Region("south")

	northDomain = domain.FailureDomain("north-a")
	southDomain = domain.FailureDomain("south-a")

	decodeTokensPerSecond  = 200
	prefillTokensPerSecond = 8000
	serviceProcessingTime  = 5 * time.Millisecond
)

// Config returns the configuration of the demo's deployment: two failure domains
// with two nodes, two engines and one plain service each.
func Config(firstPort int) fleet.Config {
	engine := enginesim.Config{
		Models: []string{Model}, Slots: 16, PrefillTokensPerSecond: prefillTokensPerSecond, DecodeTokensPerSecond: decodeTokensPerSecond, TimeScale: 1,
	}
	domainAt := func(r domain.Region, fd domain.FailureDomain) fleet.Domain {
		return fleet.Domain{
			Place: domain.Place{Region: r, FailureDomain: fd}, Nodes: 2, Engines: 2, Services: 1, Engine: engine,
			Service: ServiceName, ServiceConfig: servicesim.Config{ProcessingTime: serviceProcessingTime},
		}
	}
	return fleet.Config{
		Domains: []fleet.Domain{domainAt(north, northDomain), domainAt(south, southDomain)}, Document: Lists(), FirstCallerPort: firstPort,
	}
}

// Lists returns the demo's customer and plan lists.
func Lists() lists.Document {
	return lists.Document{
		Regions: []domain.Region{north, south},
		Customers: []lists.Customer{
			{ID: "demo", Plan: "everywhere", KeyHashes: []string{lists.HashKey(LocalKey)}},
			{ID: "south-only", Plan: "south", KeyHashes: []string{lists.HashKey(SouthKey)}},
		},
		Plans: []lists.Plan{
			{ID: "everywhere", Models: []string{Model}, Services: []string{ServiceName}, Regions: []domain.Region{north, south}},
			{ID: "south", Models: []string{Model}, Services: []string{ServiceName}, Regions: []domain.Region{south}, Home: south},
		},
		Services: []lists.Service{{ID: ServiceName, Routes: []lists.Route{
			{Methods: []string{"POST"}, PathPrefix: "/search", Repeatable: true},
		}}},
	}
}

// startTimeout is the time limit for the start of the deployment.
const startTimeout = 30 * time.Second

// Start starts the demo and waits until it is ready.
func Start(ctx context.Context, firstPort int) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return fleet.StartReady(ctx, Config(firstPort))
}

// PrintGuide writes the addresses of the deployment and example commands.
func PrintGuide(w io.Writer, f *fleet.Fleet) {
	entry := "http://" + f.NodeIn(northDomain).CallerAddress
	admin := f.NodeIn(northDomain).AdminAddress
	fmt.Fprintf(w, "platform at %s\n", f.PlatformURL)
	for _, n := range f.Nodes {
		fmt.Fprintf(w, "node %s in %s: callers http://%s, admin %s\n", n.ID, n.Place.Region, n.CallerAddress, n.AdminAddress)
	}
	fmt.Fprintf(w, `
# which entries to use
curl -s %[1]s/v1/entries
# a streamed answer from the own failure domain
curl -sN %[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"%[5]s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"How do I split a table?"}]}'
# the plan of this key allows only the south: the request is forwarded (see Crocusspread-Ran-In)
curl -si %[1]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' -d '{"model":"%[5]s","max_tokens":8,"messages":[{"role":"user","content":"How do I split a table?"}]}'
# a read from a plain service
curl -si %[1]s/services/%[6]s/slots -H 'Authorization: Bearer %[3]s'
# a call that may not be repeated: ask for an operation id, then call; repeat the call and it still runs once
OP=$(curl -s -X POST %[1]s/v1/operations -H 'Authorization: Bearer %[3]s' | sed 's/.*"operation_id":"\([^"]*\)".*/\1/')
curl -si %[1]s/services/%[6]s/reserve -H 'Authorization: Bearer %[3]s' -H "Crocusspread-Operation-Id: $OP" -d 'vat 7'
# what a node sees
go run ./cmd/crocusctl status --admin %[2]s
# why a request went where it went
ID=$(curl -si %[1]s/services/%[6]s/slots -H 'Authorization: Bearer %[3]s' | sed -n 's/^X-Request-Id: \([^ \r]*\).*/\1/p' | tr -d '\r')
go run ./cmd/crocusctl explain --admin %[2]s $ID
`, entry, admin, LocalKey, SouthKey, Model, ServiceName)
}
