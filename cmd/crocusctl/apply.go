package main

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/core/domain"
)

func init() {
	register(command{
		name:      "apply",
		short:     "Store the lists as the next version",
		long:      "Stores the contents of the list files as the next version with a single compare-and-swap. On a conflict, prints who changed what.",
		newRunner: func() runner { return &applyCommand{} },
	})
}

// applyCommand holds the options of the apply command.
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
	kv := c.openKV()
	return operatorcli.AsResult(operatorcli.Apply(ctx, kv, operatorcli.ApplyRequest{
		Dir:    c.Dir,
		Author: c.Author,
		Reason: c.Reason,
		Base:   (*domain.ListsVersion)(c.Base),
		Now:    time.Now(),
	}))
}
