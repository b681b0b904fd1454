package settings

import (
	"fmt"
	"strings"
)

// A Problem is one fault of a file.
type Problem struct {
	// File is the name of the file as it was given.
	File string
	// Line and Column are counted from 1; Column counts bytes.
	Line, Column int
	// Key is the path of the key, such as timings.lease-duration; it is empty
	// for a fault of the whole file.
	Key string
	// Message says what is wrong and what is expected.
	Message string
}

// String returns the form "file:line:column: key: message".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Message)
}

// Problems are all faults of a file in the order of their places.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
