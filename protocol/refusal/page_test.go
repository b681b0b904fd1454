package refusal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A pageRow is a row of the table in docs/reference/error-codes.md.
type pageRow struct {
	verdicts []string
	status   string
}

// pageRows returns the rows of the page by code. A code that occurs twice fails the
// test.
func pageRows(c *qt.C) map[string]pageRow {
	data, err := os.ReadFile("../../docs/reference/error-codes.md")
	c.Assert(err, qt.IsNil)
	rows := make(map[string]pageRow)
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		code := strings.Trim(cells[1], " `")
		_, exists := rows[code]
		c.Assert(exists, qt.IsFalse, qt.Commentf("code %s occurs twice on the page", code))
		rows[code] = pageRow{
			verdicts: strings.Split(strings.ReplaceAll(strings.Trim(cells[2], " "), "`", ""), ", "),
			status:   strings.TrimSpace(cells[3]),
		}
	}
	return rows
}

// usedVerdicts returns the verdicts that the source uses with each code, by the name of
// the code's constant. It finds them where both are constants: in calls of NewNotRun and
// NewMayHaveRun and in literals with the fields Code and Verdict.
func usedVerdicts(c *qt.C) map[string]map[string]bool {
	constants := map[string]string{"NotRun": string(verdict.NotRun), "Ran": string(verdict.Ran), "MayHaveRun": string(verdict.MayHaveRun)}
	used := make(map[string]map[string]bool)
	addUse := func(code ast.Expr, verdictText string) {
		if name := identifierName(code); strings.HasPrefix(name, "Code") && verdictText != "" {
			if used[name] == nil {
				used[name] = make(map[string]bool)
			}
			used[name][verdictText] = true
		}
	}
	inspect := func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.CallExpr:
			switch identifierName(n.Fun) {
			case "NewNotRun":
				addUse(n.Args[0], constants["NotRun"])
			case "NewMayHaveRun":
				addUse(n.Args[0], constants["MayHaveRun"])
			}
		case *ast.CompositeLit:
			fields := make(map[string]ast.Expr)
			for _, element := range n.Elts {
				if pair, ok := element.(*ast.KeyValueExpr); ok {
					if key, ok := pair.Key.(*ast.Ident); ok {
						fields[key.Name] = pair.Value
					}
				}
			}
			if fields["Code"] != nil && fields["Verdict"] != nil {
				addUse(fields["Code"], constants[identifierName(fields["Verdict"])])
			}
		}
		return true
	}
	for _, root := range []string{"../../state", "../../coordination", "../../protocol", "../../transport", "../../internal"} {
		c.Assert(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err == nil {
				ast.Inspect(file, inspect)
			}
			return err
		}), qt.IsNil)
	}
	return used
}

// identifierName returns the name of an identifier or, for x.Name, the Name; it is empty
// for any other expression.
func identifierName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

// Guards against a documentation page of error codes that lacks a code, lacks a verdict
// that the source uses with a code, or gives another HTTP status than Status.
func TestErrorCodesPage(t *testing.T) {
	c := qt.New(t)
	rows, used := pageRows(c), usedVerdicts(c)
	codes := declaredCodes(c)
	c.Check(len(rows), qt.Equals, len(codes))
	c.Check(len(used) > 15, qt.IsTrue)
	for name, code := range declaredNames(c) {
		row, ok := rows[string(code)]
		c.Check(ok, qt.IsTrue, qt.Commentf("code %s is not on the page", code))
		c.Check(row.status, qt.Equals, strconv.Itoa(refusal.Status(code)), qt.Commentf("%s", code))
		for verdictText := range used[name] {
			c.Check(slices.Contains(row.verdicts, verdictText), qt.IsTrue, qt.Commentf("code %s with verdict %s is not on the page", code, verdictText))
		}
		for _, verdictText := range row.verdicts {
			known := []string{string(verdict.NotRun), string(verdict.Ran), string(verdict.MayHaveRun)}
			c.Check(slices.Contains(known, verdictText), qt.IsTrue, qt.Commentf("code %s: verdict %q is unknown", code, verdictText))
		}
	}
}

// declaredNames returns the codes that package verdict declares, by the names of their
// constants.
func declaredNames(c *qt.C) map[string]verdict.Code {
	file, err := parser.ParseFile(token.NewFileSet(), "../../state/verdict/error.go", nil, 0)
	c.Assert(err, qt.IsNil)
	names := make(map[string]verdict.Code)
	ast.Inspect(file, func(node ast.Node) bool {
		value, ok := node.(*ast.ValueSpec)
		if !ok || identifierName(value.Type) != "Code" {
			return true
		}
		text, err := strconv.Unquote(value.Values[0].(*ast.BasicLit).Value)
		c.Assert(err, qt.IsNil)
		names[value.Names[0].Name] = verdict.Code(text)
		return true
	})
	return names
}
