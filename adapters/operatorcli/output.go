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

// Result is the result of a command.
type Result interface {
	// WriteText writes the result as human-readable text.
	WriteText(w io.Writer)
}

// Envelope is the JSON output of every command. It has both a result and an error if
// the command succeeded partially.
type Envelope struct {
	Result Result   `json:"result,omitempty"`
	Error  *Failure `json:"error,omitempty"`
}

// Failure is the JSON form of an error.
type Failure struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
	// ExitCode is the exit code of the command.
	ExitCode int              `json:"exit_code"`
	Problems yamldoc.Problems `json:"problems,omitempty"`
	Conflict *lists.Conflict  `json:"conflict,omitempty"`
}

// Output configures where and in which format results and errors are printed.
type Output struct {
	Out  io.Writer
	Err  io.Writer
	JSON bool
}

// Print writes a result, an error or both and returns the exit code. As text, the
// result goes to Out and the error to Err; as JSON, both go to Out.
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

// AsResult converts a command's typed result to a Result. A nil pointer becomes a nil
// interface value.
func AsResult[T any, P interface {
	*T
	Result
}](result P, err error) (Result, error) {
	if result == nil {
		return nil, err
	}
	return result, err
}
