package main

import (
	"context"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "history",
		short:     "Show the audit trail of the lists",
		long:      "Prints the most recent changes, newest first, each with author, time, reason and differences.",
		newRunner: func() runner { return &historyCommand{} },
	})
}

// historyCommand holds the options of the history command.
type historyCommand struct {
	platformOption
	timeoutOption
	Limit int `long:"limit" default:"20" description:"Number of changes; 0 for all"`
}

func (c *historyCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	ctx, cancel := c.context(ctx)
	defer cancel()
	kv := c.openKV()
	return operatorcli.AsResult(operatorcli.History(ctx, kv, c.Limit))
}
