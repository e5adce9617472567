package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

// globalOptions holds the options that every command accepts.
type globalOptions struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"How results and errors are printed"`
}

// timeoutOption is embedded in commands that query the platform or nodes.
type timeoutOption struct {
	Timeout time.Duration `long:"timeout" default:"15s" description:"Longest time for the whole command"`
}

// context returns a copy of ctx with the timeout.
func (o timeoutOption) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, o.Timeout)
}

// runner is implemented by a command's options, a struct with go-flags tags.
type runner interface {
	// run executes the command. ctx is canceled when the process receives a signal that
	// would end it; see package signals. A long-running command may write to out itself
	// and return a nil result.
	run(ctx context.Context, out operatorcli.Output) (operatorcli.Result, error)
}

// command describes a command. newRunner returns its options with zero values.
type command struct {
	name      string
	short     string // one-line description
	long      string // description in the command's help
	newRunner func() runner
}

// registered holds all commands in the order of registration.
var registered []command

// register adds a command. It is called from init in each command's file.
func register(c command) {
	registered = append(registered, c)
}

// commands returns all commands sorted by name.
func commands() []command {
	sorted := slices.Clone(registered)
	slices.SortFunc(sorted, func(a, b command) int { return cmp.Compare(a.name, b.name) })
	return sorted
}
