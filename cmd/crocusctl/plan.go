package main

import (
	"context"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "plan",
		short:     "Show what apply would change",
		long:      "Compares the list files with the lists in the key-value service, and prints the version that they were compared with.",
		newRunner: func() runner { return &planCommand{} },
	})
}

// planCommand holds the options of the plan command.
type planCommand struct {
	platformOption
	listsDirOption
	timeoutOption
}

func (c *planCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	ctx, cancel := c.context(ctx)
	defer cancel()
	kv := c.openKV()
	return operatorcli.AsResult(operatorcli.Plan(ctx, kv, c.Dir))
}
