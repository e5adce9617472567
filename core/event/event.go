// Package event holds the numbered catalogue of log events. Each event's number
// is stable; docs/EVENTS.md explains it to operators.
package event

// Event is one kind of log line.
type Event struct {
	// Number is stable and unique.
	Number int
	// Name is a short identifier in snake case.
	Name string
	// Help tells operators what happened and what to do.
	Help string
}

// The catalogue. Numbers in the 100s concern the node, the 200s the lists, the
// 300s requests, the 400s upstreams, the 500s members, the 600s operations, the
// 700s the platform, the 800s orders to engines.
var (
	NodeStarted      = Event{101, "node_started", "The node's process runs and listens; it takes requests once ready."}
	NodeServing      = Event{102, "node_serving", "The node holds lists and takes requests."}
	NodeDraining     = Event{103, "node_draining", "A planned stop began; the node left the entries and finishes what it has."}
	NodeStopped      = Event{104, "node_stopped", "The node ended; the detail says whether anything was cut off."}
	ListsAdopted     = Event{201, "lists_adopted", "A higher version of the lists is in force on this node."}
	ListsRefused     = Event{202, "lists_refused", "A document was invalid or older; the version in force stays. Check the author's change."}
	ListsUnavailable = Event{203, "lists_unavailable", "Neither the key-value service nor a peer gave lists; the node keeps what it has and tries again."}
	RequestFailed    = Event{301, "request_failed", "A request ended in an error; the kind and the run verdict say what the caller was told."}
	RequestRetried   = Event{302, "request_retried", "An attempt ended in a refusal or a loss that allows another attempt."}
	AnswerResumed    = Event{303, "answer_resumed", "A generation went on over a fresh connection after its stream died or fell silent."}
	AnswerCrossed    = Event{304, "answer_crossed", "A frame of another request or out of sequence arrived and was dropped."}
	UpstreamChanged  = Event{401, "upstream_changed", "An upstream changed its life cycle state."}
	MemberChanged    = Event{501, "member_changed", "A node of the fleet changed its state as seen from here."}
	DomainChanged    = Event{502, "failure_domain_changed", "A failure domain became reachable or unreachable from here."}
	OperationRefused = Event{601, "operation_refused", "A non-repeatable call was refused; its verdict says if it may be tried again."}
	OperationUnknown = Event{602, "operation_unknown", "It cannot be told if a non-repeatable call ran; it will never run again."}
	PlatformFailed   = Event{701, "platform_failed", "A call to the platform failed; the node goes on with what it has."}
	PlatformRestored = Event{702, "platform_restored", "Calls to the platform succeed again."}
	OrderSent        = Event{801, "order_sent", "An engine was ordered to another state."}
	OrdererChanged   = Event{802, "orderer_changed", "This node took or lost the lease to give orders in its failure domain."}
)

// Catalogue returns all events ordered by number.
func Catalogue() []Event {
	return []Event{
		NodeStarted, NodeServing, NodeDraining, NodeStopped,
		ListsAdopted, ListsRefused, ListsUnavailable,
		RequestFailed, RequestRetried, AnswerResumed, AnswerCrossed,
		UpstreamChanged, MemberChanged, DomainChanged,
		OperationRefused, OperationUnknown,
		PlatformFailed, PlatformRestored,
		OrderSent, OrdererChanged,
	}
}

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns a Field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Logger writes events. Implementations are safe for concurrent use.
type Logger interface {
	Log(e Event, fields ...Field)
}

// Discard is a Logger that writes nothing.
type Discard struct{}

// Log implements Logger.
func (Discard) Log(Event, ...Field) {}
