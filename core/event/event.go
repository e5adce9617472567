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
	NodeStarted       = Event{101, "node_started", "The node's process runs and listens; it takes requests once ready."}
	NodeServing       = Event{102, "node_serving", "The node holds lists and takes requests."}
	NodeDraining      = Event{103, "node_draining", "A planned stop began; the node left the entries and finishes what it has."}
	NodeStopped       = Event{104, "node_stopped", "The node ended; the detail says whether anything was cut off."}
	SettingsReloaded  = Event{105, "settings_reloaded", "The settings file was read again; the fields tell what is in force."}
	SettingsRefused   = Event{106, "settings_refused", "The settings file could not be read or is not sound; the settings in force stay."}
	ListsAdopted      = Event{201, "lists_adopted", "A higher version of the lists is in force on this node."}
	ListsRefused      = Event{202, "lists_refused", "A document was invalid or older; the version in force stays. Check the author's change."}
	ListsUnavailable  = Event{203, "lists_unavailable", "Neither the key-value service nor a peer gave lists; the node keeps what it has and tries again."}
	PeerDocuments     = Event{204, "peer_documents", "The node took over another node's documents, as the store told it nothing yet."}
	EvacuationChanged = Event{205, "evacuation_changed", "A failure domain's upstreams get no more requests, or get them again."}
	FetchFailed       = Event{206, "fetch_failed", "Documents could not be taken over from another node; what and error say which and why."}
	RequestFailed     = Event{301, "request_failed", "A request ended in an error; the kind and the run verdict say what the caller was told."}
	RequestRetried    = Event{302, "request_retried", "An attempt ended in a refusal or a loss that allows another attempt."}
	AnswerResumed     = Event{303, "answer_resumed", "A generation went on over a fresh connection after its stream died or fell silent."}
	AnswerCrossed     = Event{304, "answer_crossed", "A frame of another request or out of sequence arrived and was dropped."}
	AttemptFailed     = Event{305, "attempt_failed", "One attempt at an upstream or another region did not deliver; the request's own line tells what became of it."}
	RequestServed     = Event{306, "request_served", "A request was answered; the fields tell what the placement knew and where it went."}
	RequestRefused    = Event{307, "request_refused", "A request was refused on arrival: no routing table, no route, or a message that is not sound."}
	UpstreamChanged   = Event{401, "upstream_changed", "An upstream changed its life cycle state."}
	InstanceChanged   = Event{402, "instance_changed", "An upstream registered itself or changed its entry; it gets work unless it is leaving."}
	InstanceGone      = Event{403, "instance_gone", "An upstream's entry is gone; it gets nothing more."}
	InstanceDoubtful  = Event{404, "instance_doubtful", "An upstream's entry vanished around an outage of the store; it is kept until the store has been back for a while."}
	InstanceSuspect   = Event{405, "instance_suspect", "An upstream failed more often than its peers and is left out for the stated time."}
	InstanceRefused   = Event{406, "entry_refused", "An entry in the store could not be read or is not sound; it names no upstream or node to use."}
	MemberChanged     = Event{501, "member_changed", "A node of the fleet changed its state as seen from here."}
	DirectoryEmpty    = Event{503, "directory_empty", "A caller asked for entries and no live node was known, or the answer could not be written."}
	DomainChanged     = Event{502, "failure_domain_changed", "A failure domain became reachable or unreachable from here."}
	OperationRefused  = Event{601, "operation_refused", "A non-repeatable call was refused; its verdict says if it may be tried again."}
	OperationUnknown  = Event{602, "operation_unknown", "It cannot be told if a non-repeatable call ran; it will never run again."}
	PlatformFailed    = Event{701, "platform_failed", "A call to the platform failed; the node goes on with what it has."}
	PlatformRestored  = Event{702, "platform_restored", "Calls to the platform succeed again."}
	StoreHistoryLost  = Event{703, "store_history_lost", "The store no longer knows the changes since the last read; everything is read again."}
	Registered        = Event{704, "node_registered", "The node's entry stands in the store under a lease."}
	RegistrationLost  = Event{705, "node_registration_lost", "The node's lease ended without its doing; it registers again."}
	OrderSent         = Event{801, "order_sent", "An engine was ordered to another state."}
	OrdererChanged    = Event{802, "orderer_changed", "This node took or lost the lease to give orders in its failure domain."}
)

// Catalogue returns all events ordered by number.
func Catalogue() []Event {
	return []Event{
		NodeStarted, NodeServing, NodeDraining, NodeStopped, SettingsReloaded, SettingsRefused,
		ListsAdopted, ListsRefused, ListsUnavailable, PeerDocuments, EvacuationChanged, FetchFailed,
		RequestFailed, RequestRetried, AnswerResumed, AnswerCrossed,
		AttemptFailed, RequestServed, RequestRefused,
		UpstreamChanged, InstanceChanged, InstanceGone, InstanceDoubtful, InstanceSuspect, InstanceRefused,
		MemberChanged, DomainChanged, DirectoryEmpty,
		OperationRefused, OperationUnknown,
		PlatformFailed, PlatformRestored, StoreHistoryLost, Registered, RegistrationLost,
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
