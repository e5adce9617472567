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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Paths of the binaries under test, set by TestMain.
var nodeBinary, ctlBinary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// parallelTests is the number of parallel tests. It exceeds the number of cores since
// tests mostly wait; processSlots limits their processes.
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
		fmt.Fprintln(os.Stderr, "build binaries:", err)
		return 1
	}
	nodeBinary, ctlBinary = filepath.Join(dir, "crocusspread"), filepath.Join(dir, "crocusctl")
	return m.Run()
}

// hangTimeout limits every wait, so that a test doesn't hang. No expected result
// depends on it.
const hangTimeout = 60 * time.Second

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 25 * time.Millisecond

// waitFor waits until the condition is met and fails the test after hangTimeout.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(hangTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// output collects the output of a process.
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

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	out  output
	done chan struct{} // closed once the process has exited
	err  error         // result of Wait, valid once done is closed
}

var _ io.Writer = (*output)(nil)

// start starts a process and kills it at the end of the test.
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
			t.Logf("output of %s:\n%s", name, tail(p.out.String()))
			p.save(t)
		}
	})
	return p
}

var outputDirectory = flag.String("output", "", "directory for the whole output of the processes of failed tests")

// save writes the process's output to a file if the tests were told to.
func (p *process) save(t testing.TB) {
	if *outputDirectory == "" {
		return
	}
	name := fmt.Sprintf("%s-%s-%d.log", strings.ReplaceAll(t.Name(), "/", "-"), p.name, p.cmd.Process.Pid)
	if err := os.WriteFile(filepath.Join(*outputDirectory, name), []byte(p.out.String()), 0o600); err != nil {
		t.Log(err)
	}
}

// maxTailBytes limits the output of one process that a failed test shows.
const maxTailBytes = 3000

func tail(s string) string { return s[max(0, len(s)-maxTailBytes):] }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process with SIGSTOP, and thaw resumes it with SIGCONT.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// terminate requests a planned stop with SIGTERM.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// exitCode waits until the process has exited and returns its exit code.
func (p *process) exitCode(t testing.TB) int {
	t.Helper()
	waitFor(t, p.name+" to exit", p.exited)
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

var listensOn = regexp.MustCompile(`listens on (\S+)`)

// startStandin starts a stand-in, which listens on a free port, and returns its
// address.
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
		if p.exited() {
			t.Fatalf("%s exited: %s", name, p.out.String())
		}
		return address != ""
	})
	return p, address
}
