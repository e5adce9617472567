package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/goccy/go-yaml"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/core/errkind"
)

func init() {
	register(command{
		name:  "standin",
		short: "Run a stand-in for the platform, a model engine or a plain service",
		long: "Simulates the interface of an external system until it is stopped. --config is the path of a YAML file with the fields " +
			"of the stand-in's Config by their JSON names.",
		newRunner: func() runner { return &standinCommand{} },
	})
}

// standinCommand holds the options of the standin command.
type standinCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"Listen address"`
	Config string `long:"config" value-name:"FILE" description:"Configuration of the stand-in (YAML)"`
	Args   struct {
		Kind string `positional-arg-name:"platform|engine|service" required:"true"`
	} `positional-args:"true"`
}

func (c *standinCommand) run(ctx context.Context, out operatorcli.Output) (operatorcli.Result, error) {
	handler, err := c.handler()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "listen: %w", err)
	}
	fmt.Fprintf(out.Out, "%s stand-in listens on %s\n", c.Args.Kind, l.Addr())
	s := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return nil, err
	}
	return nil, nil
}

// handler returns the HTTP handler of the selected stand-in.
func (c *standinCommand) handler() (http.Handler, error) {
	switch c.Args.Kind {
	case "platform":
		cfg, err := readConfig[platformsim.Config](c.Config)
		return platformsim.New(cfg), err
	case "engine":
		cfg, err := readConfig[enginesim.Config](c.Config)
		return enginesim.New(cfg), err
	case "service":
		cfg, err := readConfig[servicesim.Config](c.Config)
		return servicesim.New(cfg), err
	}
	return nil, errkind.New(errkind.BadRequest, "unknown stand-in %q, want platform, engine or service", c.Args.Kind)
}

// readConfig reads a YAML file whose keys are the JSON names of T and rejects unknown
// keys. It returns the zero value for an empty path.
func readConfig[T any](path string) (T, error) {
	var cfg T
	if path == "" {
		return cfg, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return cfg, errkind.New(errkind.NotFound, "read configuration file: %w", err)
	}
	encoded, err := yaml.YAMLToJSON(text)
	if err != nil {
		return cfg, errkind.New(errkind.BadRequest, "%s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		return cfg, errkind.New(errkind.BadRequest, "%s: %w", path, err)
	}
	return cfg, nil
}
