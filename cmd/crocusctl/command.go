package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

// globalOptions hold for every command.
type globalOptions struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"How results and errors are printed"`
}

// timeoutOption is embedded by commands that end by themselves.
type timeoutOption struct {
	Timeout time.Duration `long:"timeout" default:"15s" description:"Longest time for the whole command"`
}

// context bounds ctx by the option.
func (o timeoutOption) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, o.Timeout)
}

// runner is a command: a struct with go-flags tags and the work. The context
// ends when the process is asked to stop. Long-running commands may print to
// out themselves and return a nil result.
type runner interface {
	run(ctx context.Context, out operatorcli.Output) (operatorcli.Result, error)
}

// command describes a command; runner returns its options with zero values.
type command struct {
	name   string
	short  string
	long   string
	runner func() runner
}

var registered []command

// register adds a command; each command's file calls it from init.
func register(c command) {
	registered = append(registered, c)
}

// commands returns all commands by name.
func commands() []command {
	sorted := slices.Clone(registered)
	slices.SortFunc(sorted, func(a, b command) int { return cmp.Compare(a.name, b.name) })
	return sorted
}
