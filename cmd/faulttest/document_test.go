package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// document returns the lists of a deployment: one customer whose plan allows all
// regions, and for each region one whose plan allows only that region. Their keys
// are "key-all" and "key-REGION".
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

// lastChange holds the number of the latest change.
var lastChange = make(chan int, 1)

func init() { lastChange <- 0 }

// nextChangeNumber returns a number that is unique within the test process.
func nextChangeNumber() int {
	n := <-lastChange + 1
	lastChange <- n
	return n
}

// applyLists stores a document as the next lists version in the key-value service.
func (d *deployment) applyLists(author string, doc lists.Document) (domain.ListsVersion, error) {
	applier := lists.Applier{KV: d.kv}
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	out, err := applier.Apply(ctx, lists.Proposal{
		ChangeID: fmt.Sprintf("change-%d", nextChangeNumber()), Author: author, Reason: "test", Time: time.Now(), Document: doc,
	})
	if err != nil {
		return 0, err
	}
	return out.Change.Version, nil
}
