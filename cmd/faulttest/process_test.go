package faulttest

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Paths of the binaries under test, set by TestMain.
var nodeBinary, ctlBinary string

func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == pathGateCommand {
		fmt.Fprintln(os.Stderr, "run gated:", runGated(os.Args[2], os.Args[3:]))
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

// parallelTests is the number of parallel tests. It exceeds the number of cores since
// tests mostly wait; processSlots limits their processes.
const parallelTests = "24"

func buildAndRun(m *testing.M) int {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if signal.Ignored(syscall.SIGHUP) {
		// Started by nohup. Processes started from here have the default effect again.
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
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
	// killed is set before SIGKILL is sent, or another signal that ends the process.
	killed atomic.Bool

	mu sync.Mutex
	// reader is the reading end of the pipe that is the process's output; nil while
	// there is none.
	reader *os.File
}

var _ io.Writer = (*output)(nil)

// start starts a process and kills it at the end of the test.
func start(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	err = p.cmd.Start()
	_ = writer.Close() // the process has its own copy
	if err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	copied := p.read(reader)
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
		<-copied
	}()
	t.Cleanup(func() {
		p.kill()
		p.closeOutput()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.out.String()))
			p.save(t)
		}
	})
	return p
}

// read collects what arrives at the reading end of the process's output. The returned
// channel is closed once nothing more can arrive there.
func (p *process) read(reader *os.File) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reader = reader
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(&p.out, reader) // ends with the process, or when the reader is closed
	}()
	return ended
}

// closeOutput closes the reading end of the process's output, as a log collector that
// ends does.
func (p *process) closeOutput() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader != nil {
		_ = p.reader.Close()
		p.reader = nil
	}
}

// reopenOutput reads the process's output again after closeOutput, unless it has exited.
func (p *process) reopenOutput() {
	reader, err := os.Open(fmt.Sprintf("/proc/%d/fd/1", p.cmd.Process.Pid))
	if err == nil {
		p.read(reader)
	}
}

// handlesSignals reports whether the process has registered for its signals, the last of
// which is SIGPIPE. Until then the runtime ends it on any of them.
func (p *process) handlesSignals() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		var ignored uint64
		if n, _ := fmt.Sscanf(line, "SigIgn: %x", &ignored); n == 1 {
			return ignored&(1<<(syscall.SIGPIPE-1)) != 0
		}
	}
	return false
}

// checkEnd fails the test if the process has ended otherwise than by its own decision
// with exit code 0, or by SIGKILL.
func (p *process) checkEnd(t testing.TB) {
	if p.exited() && !p.killed.Load() && p.err != nil {
		t.Errorf("%s, process %d, ended: %v; want exit code 0", p.name, p.cmd.Process.Pid, p.err)
	}
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
	p.killed.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process with SIGSTOP, and thaw resumes it with SIGCONT.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// terminate requests a planned stop with SIGTERM.
func (p *process) terminate() { p.stopWith(syscall.SIGTERM) }

// signalIfHandled sends a signal unless the process doesn't handle signals yet.
func (p *process) signalIfHandled(s syscall.Signal) {
	if p.handlesSignals() {
		p.signal(s)
	}
}

// stopWith sends a signal that requests a planned stop. A process that doesn't handle
// signals yet is ended by it.
func (p *process) stopWith(s syscall.Signal) {
	if !p.handlesSignals() {
		p.killed.Store(true)
	}
	p.signal(s)
}

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
