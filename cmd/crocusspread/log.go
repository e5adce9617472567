package main

import (
	"flag"
	"io"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// flushTimeout limits the final writes of the log.
const flushTimeout = 100 * time.Millisecond

// setUpLog directs the log to an output without ever blocking on it.
func setUpLog(opts options, output io.Writer) (*telemetry.Writer, error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "v": strconv.Itoa(opts.Verbosity)} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	w := telemetry.NewWriter(output, opts.LogLines)
	klog.SetOutput(w)
	return w, nil
}
