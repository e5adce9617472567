package operations

// State is where an operation stands at its issuer.
type State uint8

// The states of an operation at its issuer.
const (
	// Issued has not been started; it takes no memory.
	Issued State = iota
	// Started is owned by one Run and is at no executor.
	Started
	// Dispatched may have reached an executor.
	Dispatched
	// Done ran, and its answer ended.
	Done
	// NotRun was burned: it did not run and never will.
	NotRun
	// Unknown was dispatched, and whether it ran cannot be found out.
	Unknown
)

// Event moves an operation from one state to another.
type Event uint8

// The events of an operation at its issuer.
const (
	// Start is the first Begin.
	Start Event = iota
	// Dispatch is the moment before anything is sent to an executor.
	Dispatch
	// Refuse is a typed refusal by the executor, or a proof that nothing
	// reached it.
	Refuse
	// Complete is the end of the answer.
	Complete
	// Burn gives up an operation that is at no executor.
	Burn
	// Lose gives up an operation that may be at an executor.
	Lose
)

var (
	stateNames = [...]string{"issued", "started", "dispatched", "done", "not_run", "unknown"}
	eventNames = [...]string{"start", "dispatch", "refuse", "complete", "burn", "lose"}
)

// String returns the name that the specification uses.
func (s State) String() string { return stateNames[s] }

// String returns the name that the specification uses.
func (e Event) String() string { return eventNames[e] }

// Final tells if no event leaves the state.
func (s State) Final() bool { return s == Done || s == NotRun || s == Unknown }

// step is one row of the transition table.
type step struct {
	from State
	on   Event
}

// transitions equals spec/operations.transitions.
var transitions = map[step]State{
	{Issued, Start}:        Started,
	{Issued, Burn}:         NotRun,
	{Started, Dispatch}:    Dispatched,
	{Started, Burn}:        NotRun,
	{Dispatched, Refuse}:   Started,
	{Dispatched, Complete}: Done,
	{Dispatched, Lose}:     Unknown,
}

// next returns the state after an event; ok is false if it is not allowed.
func (s State) next(e Event) (to State, ok bool) {
	to, ok = transitions[step{s, e}]
	return to, ok
}
