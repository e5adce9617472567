package main

import (
	"context"
	"net/http"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:   "status",
		short:  "Show what nodes see",
		long:   "Asks nodes on their admin addresses for members, upstreams and lists, each with its age.",
		runner: func() runner { return &statusCommand{} },
	})
}

// adminOption is embedded by commands that ask nodes.
type adminOption struct {
	Addresses []string `long:"admin" env:"CROCUSSPREAD_ADMIN" env-delim:"," required:"true" value-name:"HOST:PORT" description:"Admin address of a node; may be repeated"`
}

type statusCommand struct {
	adminOption
	timeoutOption
}

func (c *statusCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	ctx, cancel := c.context(ctx)
	defer cancel()
	admin := operatorcli.Admin{Client: http.DefaultClient}
	return operatorcli.AsResult(admin.Status(ctx, c.Addresses))
}
