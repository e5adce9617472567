// Package signals receives the signals of the process. It registers for them when it is
// initialized, and never unregisters: the default effect of a signal would end the
// process together with the requests that it serves. A program that imports it ends by
// its own decision or by SIGKILL.
//
// Signals that report a fault of the program itself (SIGSEGV, SIGBUS, SIGFPE, SIGILL,
// SIGTRAP, SIGSYS) and those of job control (SIGTSTP, SIGTTIN, SIGTTOU) keep the
// effects that the Go runtime gives them. It gives none to those that are not named here.
//
// Only commands import this package.
package signals

import (
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

var (
	// stops and hangups hold the signals that no handler has received yet. The first one
	// is never lost; a series of the same kind may be shortened.
	stops   = make(chan os.Signal, 8)
	hangups = make(chan os.Signal, 1)
	// hangupIgnored is set if the process was started with SIGHUP ignored, as by nohup.
	hangupIgnored = signal.Ignored(syscall.SIGHUP)
)

// init runs before the packages of the program that take longest to initialize, so that
// few signals can arrive earlier.
func init() {
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGABRT)
	// A shell ignores SIGINT on behalf of its background jobs; they keep that.
	if !signal.Ignored(os.Interrupt) {
		signal.Notify(stops, os.Interrupt)
	}
	// A write to a pipe without a reader fails with EPIPE. Without this, the runtime ends
	// the process if the pipe is its standard output or standard error. It comes last, as
	// tests see from outside that SIGPIPE is ignored, and then send the other signals.
	signal.Ignore(syscall.SIGPIPE)
}

// Handlers holds the functions that are called for signals. Each is called in sequence,
// in a goroutine of its own.
type Handlers struct {
	// Stop is called for SIGTERM, SIGINT, SIGQUIT and SIGABRT.
	Stop func(os.Signal)
	// Hangup is called for SIGHUP. One call may stand for several signals that arrived
	// before it began, never for one that arrived later.
	Hangup func(os.Signal)
}

// Handle calls the handlers for the signals that have arrived since the process started
// and for all later ones, until the process ends. It is called once.
func Handle(h Handlers) {
	go forward(stops, h.Stop)
	go forward(hangups, h.Hangup)
}

// HandleCommand is Handle for an interactive command: stop is called for all signals.
// SIGHUP, with which a terminal closes, has no effect under nohup.
func HandleCommand(stop func(os.Signal)) {
	Handle(Handlers{Stop: stop, Hangup: func(s os.Signal) {
		if !hangupIgnored {
			stop(s)
		}
	}})
}

func forward(received <-chan os.Signal, handle func(os.Signal)) {
	for s := range received {
		handle(s)
	}
}

// maxStackBytes limits the stacks that Stacks returns.
const maxStackBytes = 256 << 10

// Stacks returns the stacks of all goroutines as text if the signal asks for them:
// SIGQUIT and SIGABRT, with which a supervisor or a terminal ends a process that does
// not respond. It returns nil for other signals.
func Stacks(s os.Signal) []byte {
	if s != syscall.SIGQUIT && s != syscall.SIGABRT {
		return nil
	}
	text := make([]byte, maxStackBytes)
	return text[:runtime.Stack(text, true)]
}
