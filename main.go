// Command persimmonmux answers requests from one base model through many LoRA
// adapters. Its subcommands run hosts, call them as an operator, send load and print
// reports.
package main

import (
	"os"

	"github.com/persimmonmux/persimmonmux/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
