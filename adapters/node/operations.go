package node

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/operations"
)

// Issue implements callerapi.Operations.
func (n *Node) Issue(customer domain.CustomerID) (domain.OperationID, error) {
	return n.issuer.Issue(customer, time.Now()), nil
}

// Status implements callerapi.Operations.
func (n *Node) Status(ctx context.Context, customer domain.CustomerID, id domain.OperationID) (callerapi.OperationStatus, error) {
	st, err := n.gateway.OperationStatus(ctx, customer, id)
	if err != nil {
		return callerapi.OperationStatus{}, err
	}
	return callerapi.OperationStatus{OperationID: id, State: callerState(st.State), Run: st.Run}, nil
}

// callerState returns the name of a state for callers; every state that is not final
// is "running".
func callerState(s operations.State) string {
	if s.Final() {
		return s.String()
	}
	return "running"
}

// Inquire implements peer.Control.
func (n *Node) Inquire(a operations.Attempt) operations.Outcome {
	outcome, err := n.executions.Inquire(a, time.Now())
	if err != nil {
		return operations.OutcomeUnknown
	}
	return outcome
}

// LocalOperationStatus implements peer.Control.
func (n *Node) LocalOperationStatus(customer domain.CustomerID, id domain.OperationID) (operations.Status, error) {
	return n.issuer.Status(id, customer, time.Now())
}
