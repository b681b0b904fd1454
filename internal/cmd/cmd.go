// Package cmd implements the command line of persimmonmux. Each top-level command
// is in a file of its own.
package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// The exit codes of every command. docs/reference/exit-codes.md lists them under
// these names.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// A command is one top-level command. It implements flags.Commander, or it has
// subcommands that do.
type command interface {
	name() string
	short() string
	long() string
}

// Main runs the command that arguments name and returns the exit code of the
// process. Arguments exclude the program name.
func Main(arguments []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("persimmonmux", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serves requests through LoRA adapters"
	for _, c := range commands(stdout, stderr) {
		if _, err := parser.AddCommand(c.name(), c.short(), c.long(), c); err != nil {
			fmt.Fprintf(stderr, "persimmonmux: command %s: %v\n", c.name(), err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err, stdout, stderr)
}

// commands returns all top-level commands in alphabetical order.
func commands(stdout, stderr io.Writer) []command {
	return []command{
		newAdapterCommand(stdout, stderr),
		newApplicationCommand(stdout, stderr),
		newBackendCommand(stdout, stderr),
		&checkSettingsCommand{stdout: stdout},
		&demoCommand{stdout: stdout, stderr: stderr},
		newEngineCommand(stdout, stderr),
		&explainCommand{stdout: stdout, stdin: os.Stdin},
		&frontCommand{stdout: stdout},
		newHostCommand(stdout, stderr),
		newKindCommand(stdout, stderr),
		&loadCommand{stdout: stdout},
		newReportCommand(stdout),
		newRevisionCommand(stdout, stderr),
		&serveCommand{stderr: stderr},
		&versionCommand{stdout: stdout},
	}
}

// exitCode prints err and returns the exit code for it. Help, which go-flags returns
// as an error, goes to stdout and is a success.
func exitCode(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, usage.Message)
			return exitOK
		}
		fmt.Fprintf(stderr, "persimmonmux: %v\n", err)
		return exitUsage
	}
	var failure *operatorError
	if errors.As(err, &failure) && failure.asJSON {
		fmt.Fprintln(stderr, failure)
		return exitFailure
	}
	fmt.Fprintf(stderr, "persimmonmux: %v\n", err)
	return exitFailure
}
