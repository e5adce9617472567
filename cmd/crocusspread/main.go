// Command crocusspread runs an entry node.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/settings"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
)

const (
	// memoryFraction is the fraction of the memory limit that the Go runtime may use.
	memoryFraction = 0.8
	// programBytes is the memory for what the Go runtime does not count: the pages of the program
	// itself.
	programBytes = 32 << 20
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
	LogLines      int    `long:"log-lines" default:"600" value-name:"N" description:"Most log lines a second; more are dropped and counted"`
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
	// For the process and not for a node, since tests run many nodes in one process.
	if memory := int64(s.Limits.Memory); memory > 0 {
		debug.SetMemoryLimit(min(int64(memoryFraction*float64(memory)), memory-programBytes))
	}
	logWriter, err := setUpLog(opts, os.Stderr)
	if err != nil {
		return err
	}
	defer logWriter.Close(flushTimeout)
	cfg, err := node.FromSettings(s)
	if err != nil {
		return err
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	n.Metrics().ObserveGauge(telemetry.LogLinesDropped, logWriter.Dropped)
	ctx := handleSignals(cfg.Log, logWriter, func() { checkSettings(opts.Settings, cfg.Log) })
	if ctx.Err() != nil {
		return nil // a stop was requested before the node listened
	}
	return n.Run(ctx)
}

// checkSettings logs whether the settings file is valid. A running node keeps the settings
// that it was started with.
func checkSettings(path string, log event.Logger) {
	if _, err := settings.Load(path); err != nil {
		log.Log(event.SettingsRefused, event.F("path", path), event.F("error", err))
		return
	}
	log.Log(event.SettingsKept, event.F("path", path))
}
