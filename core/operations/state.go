package operations

// State is the state of an operation at its issuer.
type State uint8

// The states of an operation at its issuer.
const (
	// Issued means that the operation has not been started; it uses no memory.
	Issued State = iota
	// Started means that the operation is owned by one Run and that no executor has
	// received it.
	Started
	// Dispatched means that the operation may have reached an executor.
	Dispatched
	// Done means that the operation ran and that its answer has ended.
	Done
	// NotRun means that the operation did not run and never will.
	NotRun
	// Unknown means that the operation was dispatched and that it cannot be
	// determined whether it ran.
	Unknown
)

// Event triggers a transition of an operation from one state to another.
type Event uint8

// The events of an operation at its issuer.
const (
	// Start occurs at the first Begin.
	Start Event = iota
	// Dispatch occurs immediately before anything is sent to an executor.
	Dispatch
	// Refuse occurs on a typed refusal by the executor, or on proof that nothing
	// reached it.
	Refuse
	// Complete occurs at the end of the answer.
	Complete
	// Burn permanently invalidates an operation that no executor has received.
	Burn
	// Lose abandons an operation that an executor may have received.
	Lose
)

var (
	stateNames = [...]string{"issued", "started", "dispatched", "done", "not_run", "unknown"}
	eventNames = [...]string{"start", "dispatch", "refuse", "complete", "burn", "lose"}
)

// String returns the name used in the specification.
func (s State) String() string { return stateNames[s] }

// String returns the name used in the specification.
func (e Event) String() string { return eventNames[e] }

// Final reports whether no event leads out of the state.
func (s State) Final() bool { return s == Done || s == NotRun || s == Unknown }

// transitionKey is the key of a row in the transition table.
type transitionKey struct {
	from State
	on   Event
}

// transitions equals spec/operations.transitions.
var transitions = map[transitionKey]State{
	{Issued, Start}:        Started,
	{Issued, Burn}:         NotRun,
	{Started, Dispatch}:    Dispatched,
	{Started, Burn}:        NotRun,
	{Dispatched, Refuse}:   Started,
	{Dispatched, Complete}: Done,
	{Dispatched, Lose}:     Unknown,
}

// next returns the state after an event; ok is false if the event is not allowed.
func (s State) next(e Event) (to State, ok bool) {
	to, ok = transitions[transitionKey{s, e}]
	return to, ok
}
