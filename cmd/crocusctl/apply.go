package main

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/core/domain"
)

func init() {
	register(command{
		name:   "apply",
		short:  "Put the lists in force",
		long:   "Writes the lists' files as the next version, by one compare-and-swap. A conflict names who changed what.",
		runner: func() runner { return &applyCommand{} },
	})
}

type applyCommand struct {
	platformOption
	listsDirOption
	timeoutOption
	Author string  `long:"author" env:"CROCUSSPREAD_AUTHOR" required:"true" description:"Who makes the change"`
	Reason string  `long:"reason" required:"true" description:"Why the change is made"`
	Base   *uint64 `long:"base" value-name:"VERSION" description:"Refuse the change unless this version, as plan printed it, is current"`
}

func (c *applyCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	ctx, cancel := c.context(ctx)
	defer cancel()
	kv, err := c.openKV()
	if err != nil {
		return nil, err
	}
	return operatorcli.AsResult(operatorcli.Apply(ctx, kv, operatorcli.ApplyRequest{
		Dir:    c.Dir,
		Author: c.Author,
		Reason: c.Reason,
		Base:   (*domain.ListsVersion)(c.Base),
		Now:    time.Now(),
	}))
}
