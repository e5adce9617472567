package peer

import (
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

func headerToProto(h map[string][]string) []*peerpb.HeaderField {
	fields := make([]*peerpb.HeaderField, 0, len(h))
	for name, values := range h {
		f := &peerpb.HeaderField{Name: name, Values: make([][]byte, len(values))}
		for i, v := range values {
			f.Values[i] = []byte(v)
		}
		fields = append(fields, f)
	}
	return fields
}

func headerFromProto(fields []*peerpb.HeaderField) map[string][]string {
	h := make(map[string][]string, len(fields))
	for _, f := range fields {
		values := make([]string, len(f.GetValues()))
		for i, v := range f.GetValues() {
			values[i] = string(v)
		}
		h[f.GetName()] = values
	}
	return h
}

func requestToProto(fwd *gateway.ForwardedRequest) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		RequestId: string(fwd.RequestID), Customer: string(fwd.Customer),
		TargetKind: uint32(fwd.Target.Kind), Target: fwd.Target.Name,
		Method: fwd.Method, Path: []byte(fwd.Path), Query: []byte(fwd.Query), Header: headerToProto(fwd.Header),
		ListsVersion: uint64(fwd.ListsVersion),
		Receiver:     string(fwd.Receiver.ID), ReceiverIncarnation: uint64(fwd.Receiver.Incarnation),
		Sender: string(fwd.Sender.ID), SenderIncarnation: uint64(fwd.Sender.Incarnation), SenderAddress: fwd.Sender.PeerAddress,
		OperationId: string(fwd.OperationID), Fingerprint: fwd.Fingerprint, Attempt: uint32(fwd.Attempt),
		DeadlineMs: fwd.Timeout.Milliseconds(), Traceparent: []byte(fwd.Traceparent), Stream: fwd.Stream,
		ResumeAfter: fwd.ResumeAfter, PinnedUpstream: string(fwd.Pinned), Repeatable: fwd.Repeatable,
		Priority: int32(fwd.Priority), PromptTokens: uint64(fwd.PromptTokens), Prefix: fwd.Prefix,
	}
}

func requestFromProto(h *peerpb.RequestHead) *gateway.ForwardedRequest {
	return &gateway.ForwardedRequest{
		RequestID: domain.RequestID(h.GetRequestId()), Customer: domain.CustomerID(h.GetCustomer()),
		Target: domain.Target{Kind: domain.TargetKind(h.GetTargetKind()), Name: h.GetTarget()},
		Method: h.GetMethod(), Path: string(h.GetPath()), Query: string(h.GetQuery()), Header: headerFromProto(h.GetHeader()),
		ListsVersion: domain.ListsVersion(h.GetListsVersion()),
		Receiver:     domain.NodeRef{ID: domain.NodeID(h.GetReceiver()), Incarnation: domain.Incarnation(h.GetReceiverIncarnation())},
		Sender: domain.NodeRef{
			ID: domain.NodeID(h.GetSender()), Incarnation: domain.Incarnation(h.GetSenderIncarnation()), PeerAddress: h.GetSenderAddress(),
		},
		OperationID: domain.OperationID(h.GetOperationId()), Fingerprint: h.GetFingerprint(), Attempt: int(h.GetAttempt()),
		Timeout: time.Duration(h.GetDeadlineMs()) * time.Millisecond, Traceparent: string(h.GetTraceparent()), Stream: h.GetStream(),
		ResumeAfter: h.GetResumeAfter(), Pinned: domain.UpstreamID(h.GetPinnedUpstream()), Repeatable: h.GetRepeatable(),
		Priority: int(h.GetPriority()), PromptTokens: int(h.GetPromptTokens()), Prefix: h.GetPrefix(),
	}
}

func answerHeadToProto(h answer.Head) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		Status: int32(h.Status), Header: headerToProto(h.Header), RanOn: string(h.RanOn),
		RanInRegion: string(h.RanIn.Region), RanInFailureDomain: string(h.RanIn.FailureDomain), ListsVersion: uint64(h.ListsVersion),
	}
}

func answerHeadFromProto(h *peerpb.AnswerHead) answer.Head {
	return answer.Head{
		Status: int(h.GetStatus()), Header: headerFromProto(h.GetHeader()), RanOn: domain.UpstreamID(h.GetRanOn()),
		RanIn: domain.Place{
			Region: domain.Region(h.GetRanInRegion()), FailureDomain: domain.FailureDomain(h.GetRanInFailureDomain()),
		},
		ListsVersion: domain.ListsVersion(h.GetListsVersion()),
	}
}

func endToProto(err error, chunks uint64) *peerpb.AnswerEnd {
	if err == nil {
		return &peerpb.AnswerEnd{Chunks: chunks}
	}
	e := errkind.From(err)
	return &peerpb.AnswerEnd{
		ErrorKind: string(e.Kind), Message: strings.ToValidUTF8(e.Message, "?"), Run: string(e.Verdict()),
		RetryAfterMs: e.RetryDelay().Milliseconds(), Chunks: chunks,
	}
}

func endFromProto(end *peerpb.AnswerEnd) error {
	if end.GetErrorKind() == "" {
		return nil
	}
	return &errkind.Error{
		Kind: errkind.Kind(end.GetErrorKind()), Message: end.GetMessage(), Run: domain.Run(end.GetRun()),
		RetryAfter: time.Duration(end.GetRetryAfterMs()) * time.Millisecond,
	}
}
