package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/persimmonmux/persimmonmux/internal/explain"
)

// An explainCommand prints what the log lines of front hosts say about one request.
type explainCommand struct {
	stdout io.Writer
	stdin  io.Reader

	Request    string `long:"request" required:"true" value-name:"ID" description:"the caller's id of the request"`
	Positional struct {
		Files []string `positional-arg-name:"FILE" description:"logs of front hosts; standard input if none is named"`
	} `positional-args:"true"`
}

func (e *explainCommand) name() string  { return "explain" }
func (e *explainCommand) short() string { return "Tell what happened to a request" }
func (e *explainCommand) long() string {
	return "Reads log lines of front hosts and prints what happened to one request and what its host believed then."
}

// Execute reads the logs and prints the explanation of the request.
func (e *explainCommand) Execute([]string) error {
	var lines []explain.LogLine
	for _, name := range e.Positional.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		read, err := explain.ReadLogs(file)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	if len(e.Positional.Files) == 0 {
		read, err := explain.ReadLogs(e.stdin)
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		lines = read
	}
	explain.Collect(e.Request, lines).Write(e.stdout)
	return nil
}
