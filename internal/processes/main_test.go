//go:build processes && linux

package processes_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDirectory holds the programs under test, which TestMain builds.
var programDirectory string

// TestMain runs the tests, or a relayed entry host if startRelayedHost started
// this binary as a child process.
func TestMain(m *testing.M) {
	if advertised := os.Getenv(advertisedAddressVariable); advertised != "" {
		if err := serveRelayed(advertised, os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(buildAndTest(m))
}

// buildAndTest builds the programs once for all tests, runs the tests and returns
// the exit code.
func buildAndTest(m *testing.M) int {
	directory, err := os.MkdirTemp("", "processes")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory) //nolint:errcheck // Temporary files.
	programDirectory = directory
	const module = "github.com/persimmonmux/persimmonmux"
	for name, path := range map[string]string{"persimmonmux": module, "standin": module + "/standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, name), path)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", path, err, output)
			return 1
		}
	}
	return m.Run()
}
