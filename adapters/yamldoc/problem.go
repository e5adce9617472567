package yamldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file. Lines and columns start at one. Line is zero for
// a key that the file does not contain.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is an error in a file.
type Problem struct {
	File string `json:"file"`
	Position
	// Key is the path of the key, for instance "plans[2].regions[0]"; empty for
	// problems of the file as a whole.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line:column: key: message" without the parts that are
// unknown.
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

// Problems are all problems of one or more files.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the problems by file, line and column.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
}
