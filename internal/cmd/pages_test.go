package cmd

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"
)

// Guards against exit codes that are changed in the code but not on the reference
// page, or the other way round.
func TestExitCodesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/exit-codes.md")
	qt.Assert(t, err, qt.IsNil)
	file, err := parser.ParseFile(token.NewFileSet(), "cmd.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	declared := make(map[string]string)
	ast.Inspect(file, func(node ast.Node) bool {
		if value, ok := node.(*ast.ValueSpec); ok && strings.HasPrefix(value.Names[0].Name, "exit") {
			declared[value.Names[0].Name] = value.Values[0].(*ast.BasicLit).Value
		}
		return true
	})
	rows := regexp.MustCompile("(?m)^\\| ([0-9]+) \\| `(\\w+)` \\|").FindAllStringSubmatch(string(page), -1)
	documented := make(map[string]string)
	for _, row := range rows {
		documented[row[2]] = row[1]
	}
	qt.Check(t, documented, qt.DeepEquals, declared)
}

// Guards against operator commands that are missing on the page of commands, and
// against commands or options on the page that do not exist.
func TestCommandsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/commands.md")
	qt.Assert(t, err, qt.IsNil)
	page := string(data)
	parser := flags.NewNamedParser("persimmonmux", flags.None)
	for _, c := range commands(io.Discard, io.Discard) {
		_, err := parser.AddCommand(c.name(), c.short(), c.long(), c)
		qt.Assert(t, err, qt.IsNil)
	}
	leaves := make(map[string]map[string]bool)
	var visit func(path string, c *flags.Command, inherited []string)
	visit = func(path string, c *flags.Command, inherited []string) {
		var options func(g *flags.Group)
		options = func(g *flags.Group) {
			for _, option := range g.Options() {
				inherited = append(inherited, "--"+option.LongName)
			}
			for _, inner := range g.Groups() {
				options(inner)
			}
		}
		options(c.Group)
		if len(c.Commands()) == 0 {
			leaves[path] = make(map[string]bool)
			for _, option := range inherited {
				leaves[path][option] = true
			}
		}
		for _, inner := range c.Commands() {
			visit(path+" "+inner.Name, inner, inherited[:len(inherited):len(inherited)])
		}
	}
	operators := 0
	for _, c := range parser.Commands() {
		// The report commands call no entry host and have a page of their own.
		if len(c.Commands()) == 0 || c.Name == "report" {
			continue
		}
		operators++
		visit(c.Name, c, nil)
	}
	qt.Assert(t, operators, qt.Equals, 7)
	for path := range leaves {
		qt.Check(t, strings.Contains(page, "`"+path), qt.IsTrue, qt.Commentf("command %q is not on the page", path))
	}
	for _, entry := range regexp.MustCompile("(?m)^\\| `.*` \\|").FindAllString(page, -1) {
		for _, usage := range strings.Split(strings.Trim(strings.TrimSuffix(entry, " |"), "|` "), "`, `") {
			path := regexp.MustCompile(`^[a-z -]+[a-z]`).FindString(usage)
			known, ok := leaves[path]
			qt.Check(t, ok, qt.IsTrue, qt.Commentf("command %q on the page does not exist", path))
			for _, option := range regexp.MustCompile(`--[a-z-]+`).FindAllString(usage, -1) {
				qt.Check(t, known[option], qt.IsTrue, qt.Commentf("%s", fmt.Sprint(path, " ", option)))
			}
		}
	}
}

// Guards against metrics that are added or renamed in the code but not on the
// reference page, or the other way round.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/metrics.md")
	qt.Assert(t, err, qt.IsNil)
	documented := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `(persimmonmux[a-z._]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
	}
	declared := make(map[string]bool)
	for _, file := range []string{"../../transport/metrics/recorder.go", "../fronthost/gauges.go", "../fronthost/traffic.go"} {
		content, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		for _, name := range regexp.MustCompile(`"(persimmonmux\.[a-z._]+)"`).FindAllStringSubmatch(string(content), -1) {
			declared[name[1]] = true
		}
	}
	qt.Check(t, documented, qt.DeepEquals, declared)
}
