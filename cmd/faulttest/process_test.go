package faulttest

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Paths of the binaries under test, set by TestMain.
var nodeBinary, ctlBinary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// parallelTests lets tests that mostly wait run side by side; processSlots
// bounds their processes.
const parallelTests = "24"

func buildAndRun(m *testing.M) int {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../crocusspread", "../crocusctl")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	nodeBinary, ctlBinary = filepath.Join(dir, "crocusspread"), filepath.Join(dir, "crocusctl")
	return m.Run()
}

// hangTimeout bounds every wait against hanging; no verdict depends on it.
const hangTimeout = 60 * time.Second

// pollInterval is the time between two looks at a condition.
const pollInterval = 25 * time.Millisecond

// waitFor waits until the condition holds.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(hangTimeout)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("hung while waiting for: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// output keeps what a process wrote.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// process is a started child process.
type process struct {
	name string
	cmd  *exec.Cmd
	out  output
	done chan struct{}
	err  error
}

var _ io.Writer = (*output)(nil)

// start starts a process that ends with the test at the latest.
func start(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s wrote:\n%s", name, tail(p.out.String()))
		}
	})
	return p
}

// tailBytes bounds what a failed test shows of one process.
const tailBytes = 3000

func tail(s string) string { return s[max(0, len(s)-tailBytes):] }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// terminate asks for a planned stop.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// exitCode waits for the end.
func (p *process) exitCode(t testing.TB) int {
	t.Helper()
	waitFor(t, p.name+" to end", p.ended)
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

var listensOn = regexp.MustCompile(`listens on (\S+)`)

// startStandin starts a stand-in and returns its address. It picks a free port
// itself.
func startStandin(t testing.TB, kind, name, config string) (*process, string) {
	t.Helper()
	args := []string{"standin", "--listen", "127.0.0.1:0"}
	if config != "" {
		path := filepath.Join(t.TempDir(), name+".yaml")
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, "--config", path)
	}
	p := start(t, name, ctlBinary, append(args, kind)...)
	address := ""
	waitFor(t, name+" to listen", func() bool {
		if m := listensOn.FindStringSubmatch(p.out.String()); m != nil {
			address = m[1]
		}
		if p.ended() {
			t.Fatalf("%s ended: %s", name, p.out.String())
		}
		return address != ""
	})
	return p, address
}
