package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases has the function of each case. It reports whether the rule held.
var cases = map[string]func(*world) bool{
	"second-stop": secondStop,
	"callers":     callersCase,
	"crowd":       crowdMemory,
	"long-prompt": longPrompt,
	"deadly-part": deadlyPartCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial2 CASE PROGRAMS RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns its exit status.
func play(name, programs, record string) (status int) {
	dir, err := os.MkdirTemp("", "trial2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{dir: dir, hasTrouble: os.Getenv("TROUBLE") != "0", began: time.Now(), nextPort: os.Getpid() * 37 % 12000}
	if w.programs, err = filepath.Abs(programs); err == nil {
		w.recording, err = os.Create(record)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.recording.Close() //nolint:errcheck // The record was written line by line.
	defer w.close()
	defer func() {
		if reason, ok := recover().(cannotRun); ok {
			w.say("the case could not run: %s", reason.reason)
			status = 2
		}
	}()
	w.say("case %s, with the disruption: %t", name, w.hasTrouble)
	if cases[name](w) {
		w.say("the rule held")
		return 0
	}
	w.say("the rule was broken")
	return 1
}
