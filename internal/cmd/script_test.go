package cmd_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/persimmonmux/persimmonmux/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"persimmonmux": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against commands that accept wrong input or fail without saying why.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"entry-host": startEntryHost,
			"platform":   setPlatform,
		},
	})
}
