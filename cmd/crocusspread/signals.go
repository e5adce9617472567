package main

import (
	"context"
	"os"
	"sync/atomic"

	"github.com/crocusspread/crocusspread/adapters/signals"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/event"
)

// handleSignals handles the signals of the process until it ends. It returns a context
// that ends with the first signal that requests a stop; further ones don't shorten the
// stop, which is limited by the grace period. reload is called after each SIGHUP, during
// the stop too. SIGPIPE has no effect; see package signals.
func handleSignals(log event.Logger, logWriter *telemetry.Writer, reload func()) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	var stopping atomic.Bool
	signals.Handle(signals.Handlers{
		Stop: func(s os.Signal) {
			effect := "stop"
			if stopping.Swap(true) {
				effect = "none, already stopping"
			}
			log.Log(event.SignalReceived, event.F("signal", s), event.F("effect", effect))
			if stacks := signals.Stacks(s); stacks != nil {
				_, _ = logWriter.Write(stacks) // it counts what it drops
			}
			stop()
		},
		Hangup: func(s os.Signal) {
			log.Log(event.SignalReceived, event.F("signal", s), event.F("effect", "read the settings"))
			reload()
		},
	})
	return ctx
}
