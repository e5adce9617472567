package faulttest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
)

var adminClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (d *deployment) tryStatus(n *nodeProc) (adminapi.Status, error) {
	var st adminapi.Status
	return st, getJSON("http://"+*n.adminAddress.Load()+adminapi.StatusPath, &st)
}

func getJSON(url string, out any) error {
	resp, err := adminClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// get reads JSON from a stand-in or a node and fails the test if there is no response.
func (d *deployment) get(url string, out any) {
	d.t.Helper()
	if err := getJSON(url, out); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) post(url string, in any) {
	d.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := adminClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		d.t.Fatalf("POST %s: %s: %s", url, resp.Status, text)
	}
}

// setPlatformFaults replaces the injected faults of the platform; without arguments it
// removes them all.
func (d *deployment) setPlatformFaults(f ...platformsim.Fault) {
	d.t.Helper()
	if f == nil {
		f = []platformsim.Fault{}
	}
	d.post(d.platformURL+platformsim.PathFaults, f)
}

// setUpstreamFaults replaces the injected faults of an upstream; without arguments it
// removes them all.
func (d *deployment) setUpstreamFaults(id string, f ...faults.Fault) {
	d.t.Helper()
	if f == nil {
		f = []faults.Fault{}
	}
	d.post("http://"+d.upstreams[id].address+faults.Path, f)
}
