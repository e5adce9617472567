package main

import (
	"context"
	"net/http"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/core/domain"
)

func init() {
	register(command{
		name:      "explain",
		short:     "Show how a request was routed and why",
		long:      "Queries the admin addresses of nodes for the routing decisions of one request.",
		newRunner: func() runner { return &explainCommand{} },
	})
}

// explainCommand holds the options of the explain command.
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
