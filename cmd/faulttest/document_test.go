package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// document is the lists of a deployment: one customer with all regions, and one
// for each region alone. Keys are "key-all" and "key-REGION".
func document(sites []site) lists.Document {
	doc := lists.Document{Services: []lists.Service{{ID: serviceName, Routes: []lists.Route{
		{Methods: []string{http.MethodPost}, PathPrefix: "/apply"},
		{Methods: []string{http.MethodPost}, PathPrefix: "/validate", Repeatable: true},
	}}}}
	for _, s := range sites {
		doc.Regions = append(doc.Regions, domain.Region(s.region))
	}
	addPlan(&doc, "all", doc.Regions...)
	for _, s := range sites {
		addPlan(&doc, s.region, domain.Region(s.region))
	}
	return doc
}

func addPlan(doc *lists.Document, name string, regions ...domain.Region) {
	doc.Plans = append(doc.Plans, lists.Plan{
		ID: domain.PlanID(name), Models: []string{model}, Services: []string{serviceName}, Regions: regions,
	})
	doc.Customers = append(doc.Customers, lists.Customer{
		ID: domain.CustomerID(name), Plan: domain.PlanID(name), KeyHashes: []string{lists.HashKey("key-" + name)},
	})
}

var changes = make(chan int, 1)

func init() { changes <- 0 }

// nextChange returns a number that no other change of this run has.
func nextChange() int {
	n := <-changes + 1
	changes <- n
	return n
}

// apply puts a document in force at the key-value service.
func (d *deployment) apply(author string, doc lists.Document) (domain.ListsVersion, error) {
	applier := lists.Applier{KV: d.kv}
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	out, err := applier.Apply(ctx, lists.Proposal{
		ChangeID: fmt.Sprintf("change-%d", nextChange()), Author: author, Reason: "test", Time: time.Now(), Document: doc,
	})
	if err != nil {
		return 0, err
	}
	return out.Change.Version, nil
}
