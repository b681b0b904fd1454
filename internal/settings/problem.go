package settings

import (
	"fmt"
	"strings"
)

// A Problem is one error in a settings or configuration file.
type Problem struct {
	// File is the file name that the caller of the decoder passed in.
	File string
	// Line and Column start at 1; Column counts bytes.
	Line, Column int
	// Key is the path of the key, such as timings.lease-duration; it is empty
	// for a syntax error and for an error in the file's outermost value.
	Key string
	// Message states what was found and what is expected.
	Message string
}

// String returns the form "file:line:column: key: message".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Message)
}

// Problems holds all errors in one file, ordered by line and column. It is the
// error type of the Decode functions.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
