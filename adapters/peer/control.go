package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/peer/peerconv"
	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/operations"
)

// Control handles the control messages between nodes.
type Control interface {
	// ReceiveHeartbeat applies a heartbeat and returns the reply.
	ReceiveHeartbeat(h membership.Heartbeat) membership.Heartbeat
	// ListsNewerThan returns the version of the lists in effect and the encoded lists,
	// or zero and nil if they are not newer than v.
	ListsNewerThan(v domain.ListsVersion) (domain.ListsVersion, []byte)
	// VMList returns the encoded VM list of this node, or nil if it has none.
	VMList() []byte
	// Inquire returns the outcome of an attempt executed by this process.
	Inquire(a operations.Attempt) operations.Outcome
	// LocalOperationStatus returns the status of an operation issued by this node.
	LocalOperationStatus(customer domain.CustomerID, id domain.OperationID) (operations.Status, error)
}

// Heartbeat implements peerpb.PeerServer.
func (s *Server) Heartbeat(_ context.Context, m *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	h, err := peerconv.HeartbeatFromProto(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return peerconv.HeartbeatToProto(s.control.ReceiveHeartbeat(h)), nil
}

// FetchLists implements peerpb.PeerServer.
func (s *Server) FetchLists(_ context.Context, m *peerpb.FetchListsRequest) (*peerpb.FetchListsReply, error) {
	version, document := s.control.ListsNewerThan(domain.ListsVersion(m.GetNewerThan()))
	return &peerpb.FetchListsReply{Version: uint64(version), Document: document}, nil
}

// FetchVMs implements peerpb.PeerServer.
func (s *Server) FetchVMs(context.Context, *peerpb.FetchVMsRequest) (*peerpb.FetchVMsReply, error) {
	return &peerpb.FetchVMsReply{Vms: s.control.VMList()}, nil
}

// Inquire implements peerpb.PeerServer.
func (s *Server) Inquire(_ context.Context, m *peerpb.InquireRequest) (*peerpb.InquireReply, error) {
	return &peerpb.InquireReply{Outcome: string(s.control.Inquire(attemptFromProto(m)))}, nil
}

// OperationStatus implements peerpb.PeerServer.
func (s *Server) OperationStatus(_ context.Context, m *peerpb.OperationStatusRequest) (*peerpb.OperationStatusReply, error) {
	st, err := s.control.LocalOperationStatus(domain.CustomerID(m.GetCustomer()), domain.OperationID(m.GetOperationId()))
	if err != nil {
		return &peerpb.OperationStatusReply{Refusal: endToProto(err, 0)}, nil
	}
	return &peerpb.OperationStatusReply{State: st.State.String(), Run: string(st.Run)}, nil
}
