package hostlist

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	standin "github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// TestListing guards against entries that lose a field or their leaving state when
// the list is decoded, and against a host list that the platform could not serve
// being taken for a valid one.
func TestListing(t *testing.T) {
	c := quicktest.New(t)
	platform := &standin.Server{Hosts: standin.NewHostList(0)}
	server := httptest.NewServer(platform)
	defer server.Close()
	client := &Client{Address: server.Listener.Addr().String()}
	defer client.Close()
	host := fleet.ListedHost{Name: "muc-a-1", Role: fleet.RoleEntry, Start: 4, FailureDomain: "muc-a", Address: "127.0.0.1:1", State: fleet.HostLive}
	platform.Hosts.Set(host)
	platform.Hosts.MarkLeaving("muc-a-1")
	platform.Hosts.Set(fleet.ListedHost{Name: "engine-1", Role: fleet.RoleBackend, Start: 2, State: fleet.HostLive})
	listing, err := client.Listing(context.Background())
	c.Assert(err, quicktest.IsNil)
	c.Assert(listing, quicktest.DeepEquals, fleet.HostList{
		Hosts:   []fleet.Host{{Name: "muc-a-1", Start: 4, FailureDomain: "muc-a", PeerAddress: "127.0.0.1:1", State: fleet.HostLeaving}},
		Servers: []fleet.ListedServer{{Name: "engine-1", Start: 2, State: fleet.HostLive}},
	})
	platform.Hosts.SetUnavailable(true)
	_, err = client.Listing(context.Background())
	c.Assert(err, quicktest.IsNotNil)
}

// TestForeignBodyIsNoHostList guards against all hosts and servers counting as gone, because
// something else than the platform answers the call.
func TestForeignBodyIsNoHostList(t *testing.T) {
	for _, body := range []string{`{}`, `null`, `{"status":"ok"}`, `{"hosts":[]} trailing bytes`} {
		t.Run(body, func(t *testing.T) {
			c := quicktest.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer server.Close()
			client := &Client{Address: server.Listener.Addr().String()}
			defer client.Close()
			_, err := client.Listing(context.Background())
			c.Check(err, quicktest.IsNotNil)
		})
	}
}
