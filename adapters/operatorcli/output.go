package operatorcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/crocusspread/crocusspread/adapters/yamldoc"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Result is what a command found.
type Result interface {
	// WriteText writes the result for people.
	WriteText(w io.Writer)
}

// Envelope is the JSON form of every command's outcome. Both parts are present
// if a command succeeded in part.
type Envelope struct {
	Result Result   `json:"result,omitempty"`
	Error  *Failure `json:"error,omitempty"`
}

// Failure is the JSON form of an error.
type Failure struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
	// ExitCode is what the command exits with.
	ExitCode int              `json:"exit_code"`
	Problems yamldoc.Problems `json:"problems,omitempty"`
	Conflict *lists.Conflict  `json:"conflict,omitempty"`
}

// Output says where and how outcomes are printed.
type Output struct {
	Out  io.Writer
	Err  io.Writer
	JSON bool
}

// Print writes an outcome and returns the exit code. Text goes to Out for
// results and to Err for errors; JSON goes to Out.
func (o Output) Print(result Result, err error) int {
	failure := newFailure(err)
	if o.JSON {
		o.printJSON(Envelope{Result: result, Error: failure})
	} else {
		o.printText(result, failure)
	}
	if failure == nil {
		return 0
	}
	return failure.ExitCode
}

func (o Output) printJSON(e Envelope) {
	encoder := json.NewEncoder(o.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(e); err != nil {
		fmt.Fprintln(o.Err, "crocusctl:", err)
	}
}

func (o Output) printText(result Result, failure *Failure) {
	if result != nil {
		result.WriteText(o.Out)
	}
	if failure != nil {
		fmt.Fprintf(o.Err, "crocusctl: %s: %s\n", failure.Kind, failure.Message)
	}
}

func newFailure(err error) *Failure {
	if err == nil {
		return nil
	}
	e := errkind.From(err)
	failure := &Failure{
		Kind:     e.Kind,
		Message:  e.Message,
		Run:      e.Verdict(),
		ExitCode: errkind.Lookup(e.Kind).ExitCode,
	}
	errors.As(err, &failure.Problems)
	failure.Conflict, _ = lists.ConflictOf(err)
	return failure
}

// AsResult turns a command's typed result into a Result that is nil if the
// pointer is.
func AsResult[T any, P interface {
	*T
	Result
}](result P, err error) (Result, error) {
	if result == nil {
		return nil, err
	}
	return result, err
}
