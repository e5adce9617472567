// Command review-standin plays the cases of the review: it starts nodes as the deploy file
// does, with stand-ins for the platform, its servers and callers.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// trouble is unset by TROUBLE=0: then a case runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(rec *recorder) (int, error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 3 && args[0] == "server" {
		return runServer(args[1], args[2])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return notRun
	}
	rec, err := newRecorder(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.log("case %s, trouble %v", args[0], trouble)
	code, err := cases[args[0]](rec)
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return notRun
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	rec.log("verdict: %s", verdict)
	fmt.Println(verdict)
	return code
}
