package gateway

import (
	"bytes"
	"context"
	"io"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// dispatch runs fwd on an upstream of this node's failure domain.
func (g *Gateway) dispatch(ctx context.Context, up domain.UpstreamRef, fwd *ForwardedRequest, w answer.Writer) (err error) {
	progress, err := g.deps.Tracker.Start(up.ID, workOf(fwd))
	if err != nil {
		return err
	}
	defer func() { progress.Ended(err) }()
	s, err := g.open(ctx, up, fwd)
	if err != nil {
		return err
	}
	defer s.Close()
	dw := &dispatchWriter{progressWriter: progressWriter{Writer: w, progress: progress}, up: up, version: fwd.ListsVersion}
	_, err = answer.Copy(dw, s)
	return err
}

func workOf(fwd *ForwardedRequest) Work {
	return Work{Target: fwd.Target, PromptTokens: fwd.PromptTokens, Prefix: fwd.Prefix}
}

// forward sends fwd to its receiver and copies the answer.
func (g *Gateway) forward(ctx context.Context, fwd *ForwardedRequest, w answer.Writer) (err error) {
	progress, err := g.deps.Tracker.StartForward(fwd.Receiver, workOf(fwd))
	if err != nil {
		return err
	}
	defer func() { progress.Ended(err) }()
	s, err := g.deps.Peers.Execute(ctx, fwd)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = answer.Copy(&progressWriter{Writer: w, progress: progress}, s)
	return err
}

func (g *Gateway) open(ctx context.Context, up domain.UpstreamRef, fwd *ForwardedRequest) (answer.Stream, error) {
	if fwd.Target.Kind == domain.TargetModel {
		return g.deps.Engine.Generate(ctx, up, ports.GenerateRequest{
			RequestID: fwd.RequestID, Model: fwd.Target.Name, Body: fwd.Payload, Stream: fwd.Stream,
			ResumeAfter: fwd.ResumeAfter, Priority: fwd.Priority, Traceparent: fwd.Traceparent,
		})
	}
	return g.deps.Service.Call(ctx, up, ports.ServiceRequest{
		RequestID: fwd.RequestID, Method: fwd.Method, Path: fwd.Path, Query: fwd.Query, Header: fwd.Header,
		Body: body(fwd), Repeatable: fwd.Repeatable, OperationID: fwd.OperationID,
	})
}

func body(fwd *ForwardedRequest) io.Reader {
	if fwd.Body != nil {
		return fwd.Body
	}
	if len(fwd.Payload) == 0 {
		return nil
	}
	return bytes.NewReader(fwd.Payload)
}

// dispatchWriter adds to the head where the request ran.
type dispatchWriter struct {
	progressWriter
	up      domain.UpstreamRef
	version domain.ListsVersion
}

// WriteHead implements answer.Writer.
func (d *dispatchWriter) WriteHead(h answer.Head) error {
	h.RanOn, h.RanIn, h.ListsVersion = d.up.ID, d.up.Place, d.version
	return d.Writer.WriteHead(h)
}

// progressWriter reports the first chunk to a Progress.
type progressWriter struct {
	answer.Writer
	progress Progress
	reported bool
}

// WriteChunk implements answer.Writer.
func (p *progressWriter) WriteChunk(chunk []byte) error {
	if !p.reported {
		p.reported = true
		p.progress.FirstChunk()
	}
	return p.Writer.WriteChunk(chunk)
}
