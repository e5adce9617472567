package main

import (
	"context"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:   "validate",
		short:  "Check the lists' files without the service",
		long:   "Reads customers.yaml and plans.yaml and prints every problem with file, line and key.",
		runner: func() runner { return &validateCommand{} },
	})
}

type validateCommand struct {
	listsDirOption
}

func (c *validateCommand) run(context.Context, operatorcli.Output) (operatorcli.Result, error) {
	return operatorcli.AsResult(operatorcli.Validate(c.Dir))
}
