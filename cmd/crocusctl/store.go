package main

import (
	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/core/ports"
)

// platformOption is embedded in commands that use the platform's services.
type platformOption struct {
	Platform string `long:"platform" env:"CROCUSSPREAD_PLATFORM" required:"true" value-name:"URL" description:"Base URL of the platform's services"`
}

// listsDirOption is embedded in commands that read the list files.
type listsDirOption struct {
	Dir string `long:"dir" default:"." value-name:"DIR" description:"Directory of customers.yaml and plans.yaml"`
}

// openKV returns a client of the key-value service.
func (o platformOption) openKV() ports.KV {
	return platform.New(o.Platform, platform.Options{}).KV()
}
