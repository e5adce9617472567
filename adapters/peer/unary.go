package peer

import (
	"context"
	"encoding/json"

	"github.com/crocusspread/crocusspread/adapters/peer/peerconv"
	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/operations"
	"github.com/crocusspread/crocusspread/core/ports"
)

// call executes one unary RPC. If no reply arrives within the silence timeout, the
// connection counts as dead and is retired.
func call[Reply any](ctx context.Context, c *Client, address string, send func(context.Context, peerpb.PeerClient) (Reply, error)) (Reply, error) {
	var zero Reply
	conn, err := c.connect(ctx, address)
	if err != nil {
		return zero, err
	}
	defer c.pool.release(conn)
	callCtx, cancel := context.WithTimeout(ctx, c.silenceTimeout)
	defer cancel()
	reply, err := send(callCtx, peerpb.NewPeerClient(conn))
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			c.pool.retire(conn)
		}
		return zero, errkind.New(errkind.PeerLost, "call %s: %w", address, err)
	}
	return reply, nil
}

// Heartbeat exchanges heartbeats with a node.
func (c *Client) Heartbeat(ctx context.Context, node domain.NodeRef, h membership.Heartbeat) (membership.Heartbeat, error) {
	reply, err := call(ctx, c, node.PeerAddress, func(ctx context.Context, pc peerpb.PeerClient) (*peerpb.HeartbeatMessage, error) {
		return pc.Heartbeat(ctx, peerconv.HeartbeatToProto(h))
	})
	if err != nil {
		return membership.Heartbeat{}, err
	}
	return peerconv.HeartbeatFromProto(reply)
}

// FetchLists returns a node's lists, or nil if they are not newer than newerThan.
func (c *Client) FetchLists(ctx context.Context, node domain.NodeRef, newerThan domain.ListsVersion) (*lists.Versioned, error) {
	reply, err := call(ctx, c, node.PeerAddress, func(ctx context.Context, pc peerpb.PeerClient) (*peerpb.FetchListsReply, error) {
		return pc.FetchLists(ctx, &peerpb.FetchListsRequest{NewerThan: uint64(newerThan)})
	})
	if err != nil || len(reply.GetDocument()) == 0 {
		return nil, err
	}
	return lists.Decode(reply.GetDocument())
}

// FetchVMs returns a node's VM list, or nil if it has none.
func (c *Client) FetchVMs(ctx context.Context, node domain.NodeRef) ([]ports.VM, error) {
	reply, err := call(ctx, c, node.PeerAddress, func(ctx context.Context, pc peerpb.PeerClient) (*peerpb.FetchVMsReply, error) {
		return pc.FetchVMs(ctx, &peerpb.FetchVMsRequest{})
	})
	if err != nil || len(reply.GetVms()) == 0 {
		return nil, err
	}
	var vms []ports.VM
	if err := json.Unmarshal(reply.GetVms(), &vms); err != nil {
		return nil, errkind.New(errkind.PeerLost, "decode the VM list of %s: %w", node.ID, err)
	}
	return vms, nil
}

// Inquire implements gateway.Peers.
func (c *Client) Inquire(ctx context.Context, executor domain.NodeRef, a operations.Attempt) (operations.Outcome, error) {
	reply, err := call(ctx, c, executor.PeerAddress, func(ctx context.Context, pc peerpb.PeerClient) (*peerpb.InquireReply, error) {
		return pc.Inquire(ctx, &peerpb.InquireRequest{
			OperationId: string(a.Operation), Receiver: string(a.Executor.Node), ReceiverIncarnation: uint64(a.Executor.Incarnation),
			Sender: string(a.Issuer), SenderIncarnation: uint64(a.IssuerIncarnation), Attempt: a.Number,
		})
	})
	if err != nil {
		return operations.OutcomeUnknown, err
	}
	return operations.Outcome(reply.GetOutcome()), nil
}

// OperationStatus implements gateway.Peers.
func (c *Client) OperationStatus(ctx context.Context, issuer domain.NodeRef, customer domain.CustomerID, id domain.OperationID) (operations.Status, error) {
	reply, err := call(ctx, c, issuer.PeerAddress, func(ctx context.Context, pc peerpb.PeerClient) (*peerpb.OperationStatusReply, error) {
		return pc.OperationStatus(ctx, &peerpb.OperationStatusRequest{OperationId: string(id), Customer: string(customer)})
	})
	if err != nil {
		return operations.Status{}, err
	}
	if reply.GetRefusal() != nil {
		return operations.Status{}, endFromProto(reply.GetRefusal())
	}
	state, err := operations.ParseState(reply.GetState())
	return operations.Status{State: state, Run: domain.Run(reply.GetRun())}, err
}

func attemptFromProto(m *peerpb.InquireRequest) operations.Attempt {
	return operations.Attempt{
		Operation: domain.OperationID(m.GetOperationId()), Issuer: domain.NodeID(m.GetSender()),
		IssuerIncarnation: domain.Incarnation(m.GetSenderIncarnation()),
		Executor: operations.ExecutorRef{
			Node: domain.NodeID(m.GetReceiver()), Incarnation: domain.Incarnation(m.GetReceiverIncarnation()),
		},
		Number: m.GetAttempt(),
	}
}
