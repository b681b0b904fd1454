package site

import (
	"strconv"
	"testing"

	"github.com/frankban/quicktest"
)

// TestIndexFollowsDesiredState guards against a view that routes by the desired state of
// the view before, or that loses routes or keys when only servers change.
func TestIndexFollowsDesiredState(t *testing.T) {
	c := quicktest.New(t)
	newDesired := func(name string) *DesiredState {
		return &DesiredState{
			Routes:        []Route{{Name: name, Host: "h", Prefix: "/"}},
			Organisations: []Organisation{{Name: OrganisationName(name), Keys: []KeyDigest{NewKeyDigest("k")}}},
		}
	}
	first := newDesired("first")
	before := &View{}
	before.BuildIndex()
	c.Check(before.Route("h", "/"), quicktest.IsNil)
	for _, desired := range []*DesiredState{first, first, newDesired("second")} {
		view := &View{Desired: desired, Servers: map[ServerID]*Server{"s": {Service: "b"}}}
		view.BuildIndexAfter(before)
		c.Check(view.Route("h", "/"), quicktest.Equals, &desired.Routes[0])
		c.Check(view.OrganisationOf(NewKeyDigest("k")), quicktest.Equals, &desired.Organisations[0])
		c.Check(view.ServersOf("b"), quicktest.HasLen, 1)
		before = view
	}
}

// BenchmarkBuildIndex measures a view with new servers under an unchanged desired state.
func BenchmarkBuildIndex(b *testing.B) {
	desired := &DesiredState{}
	for i := range 500 {
		desired.Routes = append(desired.Routes, Route{Host: "h" + strconv.Itoa(i%20), Prefix: "/" + strconv.Itoa(i)})
	}
	for i := range 1000 {
		desired.Organisations = append(desired.Organisations, Organisation{Keys: []KeyDigest{NewKeyDigest(strconv.Itoa(i))}})
	}
	before := &View{Desired: desired}
	before.BuildIndex()
	for b.Loop() {
		view := &View{Desired: desired}
		view.BuildIndexAfter(before)
	}
}
