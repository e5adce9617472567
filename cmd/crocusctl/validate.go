package main

import (
	"context"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "validate",
		short:     "Check the list files without the key-value service",
		long:      "Reads customers.yaml and plans.yaml and prints every problem with file, line and key.",
		newRunner: func() runner { return &validateCommand{} },
	})
}

// validateCommand holds the options of the validate command.
type validateCommand struct {
	listsDirOption
}

func (c *validateCommand) run(context.Context, operatorcli.Output) (operatorcli.Result, error) {
	return operatorcli.AsResult(operatorcli.Validate(c.Dir))
}
