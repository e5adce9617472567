package operatorcli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// startNode starts an admin server that serves a status and the explanation of
// request "r1" only, and returns its address.
func startNode(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(adminapi.Status{Node: "n1", Lists: adminapi.Lists{Version: 7}})
	})
	mux.HandleFunc("GET "+adminapi.ExplainPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("id") != "r1" {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(adminapi.Failure{Kind: errkind.NotFound, Message: "unknown", Run: "no"})
			return
		}
		_ = json.NewEncoder(w).Encode(adminapi.Explanation{Request: "r1", Node: "n1"})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// stoppedAddress returns the address of a server that was closed.
func stoppedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStatusIncludesReachableNodesWhenOneIsUnreachable(t *testing.T) {
	admin := operatorcli.Admin{Client: http.DefaultClient}
	fleet, err := admin.Status(context.Background(), []string{stoppedAddress(), startNode(t)})
	if !errors.Is(err, errkind.Of(errkind.PeerUnreachable)) {
		t.Fatalf("got error %v, want kind peer_unreachable", err)
	}
	if fleet.Nodes[0].Error == nil || fleet.Nodes[1].Status.Lists.Version != 7 {
		t.Fatalf("got fleet %+v, want an error for the first node and lists version 7 for the second", fleet)
	}
}

func TestExplainReturnsRecordOrErrorKind(t *testing.T) {
	admin := operatorcli.Admin{Client: http.DefaultClient}
	reachable, unreachable := startNode(t), stoppedAddress()
	tests := map[string]struct {
		addresses []string
		request   string
		want      errkind.Kind
	}{
		"known":                         {[]string{reachable}, "r1", ""},
		"known, another node stopped":   {[]string{unreachable, reachable}, "r1", ""},
		"unknown":                       {[]string{reachable}, "r2", errkind.NotFound},
		"unknown, another node stopped": {[]string{reachable, unreachable}, "r2", errkind.PeerUnreachable},
		"no address":                    {nil, "r1", errkind.BadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			explanations, err := admin.Explain(context.Background(), test.addresses, domain.RequestID(test.request))
			if test.want == "" && (err != nil || len(explanations.Nodes) != 1) {
				t.Fatalf("got explanations %+v and error %v, want one explanation", explanations, err)
			}
			if test.want != "" && !errors.Is(err, errkind.Of(test.want)) {
				t.Fatalf("got error %v, want kind %s", err, test.want)
			}
		})
	}
}

func TestPrintWritesConflictAsJSONAndReturnsExitCode(t *testing.T) {
	var out bytes.Buffer
	conflict := &lists.Conflict{Base: 1, Current: 2, Changes: []lists.Change{{ID: "c2", Author: "boris"}}}
	output := operatorcli.Output{Out: &out, Err: &out, JSON: true}
	code := output.Print(nil, errkind.New(errkind.Conflict, "%w", error(conflict)))
	if code != errkind.Lookup(errkind.Conflict).ExitCode {
		t.Errorf("got exit code %d, want that of kind conflict", code)
	}
	var envelope struct{ Error operatorcli.Failure }
	if err := json.Unmarshal(out.Bytes(), &envelope); err != nil {
		t.Fatal(err)
	}
	if envelope.Error.Conflict == nil || envelope.Error.Conflict.Changes[0].Author != "boris" {
		t.Errorf("got JSON %s, want the conflict with the change by boris", out.String())
	}
}

func TestHashKeyTrimsNewlineAndRejectsInvalidKeys(t *testing.T) {
	hash, err := operatorcli.HashKey(strings.NewReader("secret\n"))
	if err != nil || hash.SHA256 != lists.HashKey("secret") {
		t.Errorf("got hash %+v and error %v, want the hash of \"secret\"", hash, err)
	}
	for _, invalidKey := range []string{"", "\n", "two words", "two\nlines", strings.Repeat("k", 5000)} {
		if _, err := operatorcli.HashKey(strings.NewReader(invalidKey)); err == nil {
			t.Errorf("key %.20q was accepted, want an error", invalidKey)
		}
	}
}
