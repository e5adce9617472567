// Command crocusspread runs an entry node.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/settings"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// exitUsage is the exit code for invalid arguments.
const exitUsage = 2

// options holds the command-line options.
type options struct {
	Settings      string `short:"s" long:"settings" value-name:"FILE" description:"Settings file of the node (YAML)"`
	CheckSettings bool   `long:"check-settings" description:"Check the settings file and exit"`
	PrintDefaults bool   `long:"print-defaults" description:"Print every setting with its default and exit"`
	Platform      bool   `long:"platform" description:"Run on the users' platform: routes, upstreams and nodes come from its store, settings from --settings or $CROCUSSPREAD_CONFIG"`
	MetricsPort   int    `long:"metrics-port" value-name:"PORT" description:"With --platform: port that serves metrics on the entry's IP address; 0 serves none"`
	LogLines      int    `long:"log-lines" default:"600" value-name:"N" description:"With --platform: most log lines a second; more are dropped and counted"`
	Verbosity     int    `short:"v" long:"verbosity" default:"0" description:"Verbosity of the log"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command and returns its exit code.
func run(args []string) int {
	var opts options
	_, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return 0
	}
	if err == nil && opts.Settings == "" && !opts.PrintDefaults && !opts.Platform {
		err = errors.New("--settings is missing")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusspread:", err)
		return exitUsage
	}
	if err := execute(opts); err != nil {
		fmt.Fprintln(os.Stderr, "crocusspread:", err)
		return errkind.Lookup(errkind.From(err).Kind).ExitCode
	}
	return 0
}

// execute runs what the options select.
func execute(opts options) error {
	if opts.PrintDefaults {
		return settings.PrintDefaults(os.Stdout)
	}
	if opts.Platform {
		return serveRouted(opts)
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		return err
	}
	if opts.CheckSettings {
		fmt.Println(opts.Settings, "is valid")
		return nil
	}
	return serve(opts, s)
}

// serve runs the node until it receives a termination signal.
func serve(opts options, s *settings.Settings) error {
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	if err := logFlags.Set("v", fmt.Sprint(opts.Verbosity)); err != nil {
		return err
	}
	defer klog.Flush()
	cfg, err := node.FromSettings(s)
	if err != nil {
		return err
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return n.Run(ctx)
}
