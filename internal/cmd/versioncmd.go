package cmd

import (
	"fmt"
	"io"
	"runtime/debug"
)

// A versionCommand prints the module version, the source revision and the Go version
// of the build.
type versionCommand struct {
	stdout io.Writer
}

func (*versionCommand) name() string  { return "version" }
func (*versionCommand) short() string { return "Print the version" }
func (*versionCommand) long() string {
	return "Prints the module version, the revision it was built from and the Go version."
}

// Execute prints the version from the build information of the binary.
func (v *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(v.stdout, "persimmonmux (no build information)")
		return nil
	}
	revision := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Fprintf(v.stdout, "persimmonmux %s revision %s %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
