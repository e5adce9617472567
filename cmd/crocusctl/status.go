package main

import (
	"context"
	"net/http"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "status",
		short:     "Show the state of the deployment as nodes see it",
		long:      "Queries the admin addresses of nodes for members, upstreams and lists, each with the age of the information.",
		newRunner: func() runner { return &statusCommand{} },
	})
}

// adminOption is embedded in commands that query nodes.
type adminOption struct {
	Addresses []string `long:"admin" env:"CROCUSSPREAD_ADMIN" env-delim:"," required:"true" value-name:"HOST:PORT" description:"Admin address of a node; may be repeated"`
}

// statusCommand holds the options of the status command.
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
