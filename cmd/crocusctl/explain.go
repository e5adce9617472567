package main

import (
	"context"
	"net/http"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/core/domain"
)

func init() {
	register(command{
		name:   "explain",
		short:  "Show why a request went where it went",
		long:   "Asks nodes on their admin addresses for the account of one request.",
		runner: func() runner { return &explainCommand{} },
	})
}

type explainCommand struct {
	adminOption
	timeoutOption
	Positional struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"true"`
	} `positional-args:"true"`
}

func (c *explainCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	ctx, cancel := c.context(ctx)
	defer cancel()
	admin := operatorcli.Admin{Client: http.DefaultClient}
	return operatorcli.AsResult(admin.Explain(ctx, c.Addresses, domain.RequestID(c.Positional.Request)))
}
