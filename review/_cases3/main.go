// Command cases runs the scripts of the third review: each starts a small deployment of separate
// processes on loopback addresses, brings about one disruption, and checks one rule against what
// clients and backend servers saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the run of each case by name. It reports whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) bool{}

var (
	began   = time.Now()
	current *deployment
	record  struct {
		sync.Mutex
		file *os.File
	}
)

// note writes a line to record.txt and to standard output.
func note(format string, arguments ...any) {
	record.Lock()
	defer record.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
	fmt.Print(line)
	_, _ = record.file.WriteString(line)
}

// abandon ends a case that cannot run.
func abandon(format string, arguments ...any) {
	note("the case could not run: "+format, arguments...)
	if current != nil {
		current.close()
	}
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE PROGRAMS FOLDER")
		os.Exit(exitNotRun)
	}
	var err error
	if record.file, err = os.Create(filepath.Join(os.Args[3], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	directory, err := os.MkdirTemp("", "persimmonmux-case-")
	if err != nil {
		abandon("%v", err)
	}
	programs, err := filepath.Abs(os.Args[2])
	if err != nil {
		abandon("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	current = &deployment{directory: directory, programs: programs}
	time.AfterFunc(115*time.Second, func() { abandon("it took too long") })
	note("case %s, disruption: %t", os.Args[1], trouble)
	held := cases[os.Args[1]](current, trouble)
	note("rule held: %t", held)
	current.close()
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
