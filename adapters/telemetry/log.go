package telemetry

import (
	"k8s.io/klog/v2"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// Log writes events as structured klog lines. It implements event.Logger.
type Log struct {
	node domain.NodeID
}

// NewLog returns a logger that writes the node's ID on each line.
func NewLog(node domain.NodeID) *Log { return &Log{node: node} }

// Log implements event.Logger.
func (l *Log) Log(e event.Event, fields ...event.Field) {
	args := make([]any, 0, 4+2*len(fields))
	args = append(args, "event", e.Number, "node", l.node)
	for _, f := range fields {
		args = append(args, f.Key, f.Value)
	}
	klog.InfoSDepth(1, e.Name, args...)
}
