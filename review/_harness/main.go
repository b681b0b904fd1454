// Command harness plays the scripts of this review. It starts front hosts as separate
// processes with the command of the deploy file, and serves the platform's store, the
// backend servers and the clients itself, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripts by the number of their folder.
var cases = map[string]func(*environment) (verdict, error){}

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays one case, writes its record into the folder and returns the exit code.
func run(name, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCouldNot
	}
	e, err := newEnvironment(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	v, err := play(e)
	e.close()
	if err != nil {
		e.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCouldNot
	}
	e.note("result: broken=%t: %s", v.broken, v.text)
	fmt.Printf("broken=%t: %s\n", v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
