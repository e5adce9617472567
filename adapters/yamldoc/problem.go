package yamldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a file; lines and columns count from one. Line is
// zero for a key that the file does not hold.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is one fault of a file.
type Problem struct {
	File string `json:"file"`
	Position
	// Key is the path of the key, for instance "plans[2].regions[0]"; empty for
	// faults of the whole file.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line:column: key: message" without the parts that are
// not known.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key)
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems are all faults of one or more files.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by file, line and column.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
}
