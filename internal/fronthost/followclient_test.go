package fronthost

import (
	"context"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// rawPeer replies as a host of an earlier version does, which does not hide keys.
type rawPeer struct{ value string }

func (p rawPeer) Follow(context.Context, string, site.FollowRequest) (site.FollowReply, error) {
	return site.FollowReply{Changes: []site.Changes{
		{Table: platform.OperatorTable, Rows: []site.Row{{Key: "config", Value: []byte(p.value), Position: 3}, {Key: "config", Position: 2}, {Key: "other", Value: []byte(p.value)}}},
		{Table: platform.ServerTable, Rows: []site.Row{{Key: "config", Value: []byte(p.value)}}},
	}}, nil
}

// TestRepliesOfEarlierVersionsHoldNoKeys guards against keys that a host stores and passes
// on because a host of an earlier version has sent them. The row's position and other rows
// have to stay, also rows without a value, which stand for rows that are known.
func TestRepliesOfEarlierVersionsHoldNoKeys(t *testing.T) {
	const secret = "secret-key"
	for _, test := range []struct {
		name, value string
		isKept      bool
	}{
		{"keys", `{"version":1,"tenants":[{"name":"o","apiKeys":["` + secret + `"]}]}`, false},
		{"malformed", `{"tenants":[{"apiKeys":"` + secret, false},
		{"no organisations", `{"version":1}`, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			reply, err := followClient{rawPeer{test.value}}.Follow(context.Background(), "", site.FollowRequest{})
			c.Assert(err, quicktest.IsNil)
			rows := reply.Changes[0].Rows
			c.Check(strings.Contains(string(rows[0].Value), secret), quicktest.IsFalse, quicktest.Commentf("%s", rows[0].Value))
			c.Check(string(rows[0].Value) == test.value, quicktest.Equals, test.isKept)
			c.Check(rows[0].Position, quicktest.Equals, site.Position(3))
			c.Check(rows[1], quicktest.DeepEquals, site.Row{Key: "config", Position: 2})
			c.Check(string(rows[2].Value), quicktest.Equals, test.value)
			c.Check(string(reply.Changes[1].Rows[0].Value), quicktest.Equals, test.value)
			hidden := string(rows[0].Value)
			platform.HideKeys(reply.Changes[0])
			c.Check(string(rows[0].Value), quicktest.Equals, hidden)
		})
	}
}
