package core_test

import (
	"os/exec"
	"strings"
	"testing"
)

// forbidden are packages that only adapters may use: sockets, HTTP and gRPC.
var forbidden = []string{"net", "net/http", "google.golang.org/grpc"}

// TestCoreImportsNoTransport checks that the core does no network I/O: sockets belong
// to the adapters.
func TestCoreImportsNoTransport(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for dep := range strings.FieldsSeq(string(out)) {
		for _, f := range forbidden {
			if dep == f || strings.HasPrefix(dep, "google.golang.org/grpc/") {
				t.Errorf("the core depends on %s", dep)
			}
		}
	}
}
