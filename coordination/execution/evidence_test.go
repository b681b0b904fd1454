package execution

import (
	"reflect"
	"testing"

	"github.com/frankban/quicktest"
)

// TestEachContradictionRaisesDoubt guards against a field of Evidence that Doubt does not weigh.
func TestEachContradictionRaisesDoubt(t *testing.T) {
	c := quicktest.New(t)
	c.Check(Evidence{}.Doubt(), quicktest.Equals, NotStated)
	c.Check(Evidence{IsStated: true}.Doubt(), quicktest.Equals, None)
	c.Check(Evidence{IsStated: true, NamesNoRequest: true}.Doubt(), quicktest.Equals, None)
	fields := reflect.TypeFor[Evidence]()
	seen := make(map[Doubt]bool)
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		switch name {
		case "IsStated", "NamesNoRequest", "OnReusedConnection":
			continue
		}
		e := Evidence{IsStated: true}
		reflect.ValueOf(&e).Elem().Field(i).SetBool(true)
		c.Check(e.Doubt(), quicktest.Not(quicktest.Equals), None, quicktest.Commentf(name))
		c.Check(seen[e.Doubt()], quicktest.IsFalse, quicktest.Commentf(name))
		seen[e.Doubt()] = true
	}
	c.Check(Evidence{IsStated: true, NamesNoRequest: true, OnReusedConnection: true}.Doubt(), quicktest.Equals, UnnamedRequest)
}
