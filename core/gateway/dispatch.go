package gateway

import (
	"bytes"
	"context"
	"io"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// dispatch runs fwd on an upstream of the own failure domain.
func (g *Gateway) dispatch(ctx context.Context, up domain.UpstreamRef, fwd *Forward, w answer.Writer) (err error) {
	progress := g.deps.Tracker.Started(up.ID, fwd.PromptTokens)
	defer func() { progress.Ended(err) }()
	s, err := g.open(ctx, up, fwd)
	if err != nil {
		return err
	}
	defer s.Close()
	dw := &dispatchWriter{Writer: w, up: up, version: fwd.ListsVersion, progress: progress}
	_, err = answer.Copy(dw, s)
	return err
}

func (g *Gateway) open(ctx context.Context, up domain.UpstreamRef, fwd *Forward) (answer.Stream, error) {
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

func body(fwd *Forward) io.Reader {
	if fwd.Body != nil {
		return fwd.Body
	}
	if len(fwd.Payload) == 0 {
		return nil
	}
	return bytes.NewReader(fwd.Payload)
}

// dispatchWriter marks the head with where the request ran and reports the
// first chunk.
type dispatchWriter struct {
	answer.Writer
	up       domain.UpstreamRef
	version  domain.ListsVersion
	progress Progress
	first    bool
}

// WriteHead implements answer.Writer.
func (d *dispatchWriter) WriteHead(h answer.Head) error {
	h.RanOn, h.RanIn, h.ListsVersion = d.up.ID, d.up.Place, d.version
	return d.Writer.WriteHead(h)
}

// WriteChunk implements answer.Writer.
func (d *dispatchWriter) WriteChunk(p []byte) error {
	if !d.first {
		d.first = true
		d.progress.FirstChunk()
	}
	return d.Writer.WriteChunk(p)
}
