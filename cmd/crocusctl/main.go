// Command crocusctl is the command-line tool for operating and trying out
// Crocusspread. Each subcommand is defined and registered in a file of its own and
// implemented by the packages that it calls.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/adapters/signals"
)

// exitUsage is the exit code for an invalid command line. Other errors exit with the
// code of their error kind.
const exitUsage = 2

func main() {
	os.Exit(run(os.Args[1:], operatorcli.Output{Out: os.Stdout, Err: os.Stderr}))
}

// run parses the command line, runs the command and returns the exit code.
func run(args []string, out operatorcli.Output) int {
	var global globalOptions
	parser := flags.NewNamedParser("crocusctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options for every command", "", &global); err != nil {
		fmt.Fprintln(out.Err, "crocusctl:", err)
		return exitUsage
	}
	runners := make(map[string]runner)
	for _, c := range commands() {
		r := c.newRunner()
		if _, err := parser.AddCommand(c.name, c.short, c.long, r); err != nil {
			fmt.Fprintln(out.Err, "crocusctl:", err)
			return exitUsage
		}
		runners[c.name] = r
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return usage(err, out)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals.HandleCommand(func(os.Signal) { stop() })
	out.JSON = global.Output == "json"
	return out.Print(runners[parser.Active.Name].run(ctx, out))
}

// usage prints a command-line error, or the help text if it was requested, and returns
// the exit code.
func usage(err error, out operatorcli.Output) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Fprintln(out.Out, flagError.Message)
		return 0
	}
	fmt.Fprintln(out.Err, "crocusctl:", err)
	return exitUsage
}
