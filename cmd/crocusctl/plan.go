package main

import (
	"context"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:   "plan",
		short:  "Show what apply would change",
		long:   "Compares the lists' files with the lists in the service, and names the version compared with.",
		runner: func() runner { return &planCommand{} },
	})
}

type planCommand struct {
	platformOption
	listsDirOption
	timeoutOption
}

func (c *planCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	ctx, cancel := c.context(ctx)
	defer cancel()
	kv, err := c.openKV()
	if err != nil {
		return nil, err
	}
	return operatorcli.AsResult(operatorcli.Plan(ctx, kv, c.Dir))
}
