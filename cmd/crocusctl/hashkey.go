package main

import (
	"context"
	"os"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "hash-key",
		short:     "Hash a bearer key for the customer list",
		long:      "Reads a bearer key from standard input and prints its SHA-256.",
		newRunner: func() runner { return &hashKeyCommand{} },
	})
}

// hashKeyCommand is the hash-key command, which has no options.
type hashKeyCommand struct{}

func (*hashKeyCommand) run(context.Context, operatorcli.Output) (operatorcli.Result, error) {
	return operatorcli.AsResult(operatorcli.HashKey(os.Stdin))
}
