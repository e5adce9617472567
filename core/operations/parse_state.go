package operations

import "github.com/crocusspread/crocusspread/core/errkind"

// ParseState returns the state with the given name. It fails with kind bad_request
// if there is none.
func ParseState(name string) (State, error) {
	for s, n := range stateNames {
		if n == name {
			return State(s), nil
		}
	}
	return Unknown, errkind.New(errkind.BadRequest, "unknown operation state %q", name)
}
