// The command persimmonmux serves requests through LoRA adapters.
package main

import (
	"os"

	"github.com/persimmonmux/persimmonmux/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
