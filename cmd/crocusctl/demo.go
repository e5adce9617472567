package main

import (
	"context"
	"fmt"

	"github.com/crocusspread/crocusspread/adapters/demo"
	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "demo",
		short:     "Run a small deployment in one process on loopback",
		long:      "Starts a platform, model engines, plain services and four nodes in two failure domains, and prints example commands.",
		newRunner: func() runner { return &demoCommand{} },
	})
}

// demoCommand holds the options of the demo command.
type demoCommand struct {
	Port  int  `long:"port" default:"18080" description:"Port of the first node for callers; the others follow"`
	Check bool `long:"check" description:"Run four requests, print a line each and exit"`
}

func (c *demoCommand) run(ctx context.Context, out operatorcli.Output) (operatorcli.Result, error) {
	port := c.Port
	if c.Check {
		port = 0
	}
	f, err := demo.Start(ctx, port)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if c.Check {
		return nil, demo.Check(ctx, out.Out, f)
	}
	demo.PrintGuide(out.Out, f)
	fmt.Fprintln(out.Out, "\npress Ctrl-C to stop")
	<-ctx.Done()
	return nil, nil
}
