package main

import (
	"context"
	"os"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:   "hash-key",
		short:  "Hash a bearer key for the list of customers",
		long:   "Reads a bearer key from standard input and prints its SHA-256.",
		runner: func() runner { return &hashKeyCommand{} },
	})
}

type hashKeyCommand struct{}

func (*hashKeyCommand) run(context.Context, operatorcli.Output) (operatorcli.Result, error) {
	return operatorcli.AsResult(operatorcli.HashKey(os.Stdin))
}
