package refusal_test

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// declaredCodes returns all codes that package verdict declares, read from its source.
func declaredCodes(c *qt.C) []verdict.Code {
	file, err := parser.ParseFile(token.NewFileSet(), "../../state/verdict/error.go", nil, 0)
	c.Assert(err, qt.IsNil)
	var codes []verdict.Code
	ast.Inspect(file, func(node ast.Node) bool {
		value, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := value.Type.(*ast.Ident); ok && kind.Name == "Code" {
			text, err := strconv.Unquote(value.Values[0].(*ast.BasicLit).Value)
			c.Assert(err, qt.IsNil)
			codes = append(codes, verdict.Code(text))
		}
		return true
	})
	return codes
}

// Guards against a new code without an HTTP status: callers would get status 500, which
// clients take for a fault of the host.
func TestEveryCodeHasStatus(t *testing.T) {
	c := qt.New(t)
	codes := declaredCodes(c)
	c.Assert(len(codes) > 20, qt.IsTrue)
	for _, code := range codes {
		status := refusal.Status(code)
		c.Check(status >= 400 && status < 600, qt.IsTrue, qt.Commentf("%s", code))
		if code != verdict.CodeInternal {
			c.Check(status, qt.Not(qt.Equals), 500, qt.Commentf("%s", code))
		}
	}
}

// Guards against renamed keys of the error body, because callers act on code and
// verdict, and against underlying causes, such as addresses, that reach callers.
func TestEncodeKeepsKeysAndHidesCauses(t *testing.T) {
	c := qt.New(t)
	body := refusal.Encode(verdict.FromError(errors.New("dial 10.0.0.7:80")), "r-1")
	var decoded map[string]map[string]string
	c.Assert(json.Unmarshal(body, &decoded), qt.IsNil)
	c.Assert(decoded["error"], qt.DeepEquals, map[string]string{
		"message": "request failed", "type": "server_error", "code": "internal",
		"verdict": "may-have-run", "request-id": "r-1",
	})
}

// Guards against an error for overload without Retry-After, after which callers would
// retry at once.
func TestRetryAfterOfOverloadIsNeverZero(t *testing.T) {
	for _, test := range []struct {
		name  string
		code  verdict.Code
		delay time.Duration
		want  int
	}{
		{"overload without a delay", verdict.CodeOverloaded, 0, 1},
		{"application limit without a delay", verdict.CodeApplicationLimits, 0, 1},
		{"part of a second rounds up", verdict.CodeOverloaded, 1200 * time.Millisecond, 2},
		{"other code without a delay", verdict.CodeUnknownAdapter, 0, 0},
		{"other code with a delay", verdict.CodeStopping, 3 * time.Second, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			failure := &verdict.Error{Code: test.code, RetryAfter: test.delay}
			qt.Assert(t, refusal.RetryAfter(failure), qt.Equals, test.want)
		})
	}
}
