package cmd_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/entryhost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// operatorToken is the operators' token of the entry hosts that scripts start.
const operatorToken = "operator-secret"

// A deployment is the entry host of one script with its stand-in platform.
type deployment struct {
	platform *platform.Server
	host     *entryhost.Host
}

// startEntryHost is the script command "entry-host [SILENT...]". It starts an entry
// host and adds a host that does not run to the host list for each name in SILENT.
// It sets PERSIMMONMUX_ADDRESS and PERSIMMONMUX_TOKEN to those of the entry host and
// LOSSY_ADDRESS to an address at which the host's responses are dropped.
func startEntryHost(ts *testscript.TestScript, _ bool, silentHosts []string) {
	d := &deployment{platform: &platform.Server{
		Table: platform.NewTable(1), Objects: platform.NewObjectStore(1),
		Hosts: platform.NewHostList(0), Weights: platform.NewWeightStore(100, 1),
	}}
	for _, name := range silentHosts {
		d.platform.Hosts.Set(fleet.ListedHost{
			Name: name, Role: fleet.RoleEntry, Start: 1, FailureDomain: "muc-a", Address: "127.0.0.1:1", State: fleet.HostLive,
		})
	}
	platformServer := httptest.NewServer(d.platform)
	hash := sha256.Sum256([]byte(operatorToken))
	listener := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		return l
	}
	operators := listener()
	d.host = &entryhost.Host{
		Settings: settings.Settings{
			HostName: "muc-a-1", FailureDomain: "muc-a", Region: "bayern-sued",
			PlatformAddress:   netip.MustParseAddrPort(strings.TrimPrefix(platformServer.URL, "http://")),
			OperatorTokenHash: hex.EncodeToString(hash[:]),
			Limits:            settings.Limits{HostConcurrency: 10, GraceTime: time.Millisecond, BodySize: 1 << 20},
			Timings: settings.Timings{
				LeaseDuration: 3 * time.Second, LeaseRenewal: 800 * time.Millisecond, LeaseMargin: 300 * time.Millisecond,
				GrantLimit: 30 * time.Second, IsolatedServiceLimit: time.Minute,
			},
			Decisions: settings.Decisions{LoadRateShare: 1, StallWeight: 1, BatchWeight: 1},
		},
		Start:          fleet.StartNumber(time.Now().UnixNano()),
		CallerListener: listener(), PeerListener: listener(), OperatorListener: operators,
		Initial: initialConfiguration(),
		Log:     zerolog.New(io.Discard),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.host.Run(ctx) }()
	lossy := listener()
	go forwardRequestsOnly(lossy, operators.Addr().String())
	ts.Defer(func() {
		cancel()
		ts.Check(<-ended)
		_ = lossy.Close()
		platformServer.CloseClientConnections()
		platformServer.Close()
	})
	<-d.host.Ready()
	for deadline := time.Now().Add(10 * time.Second); d.host.Revision() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("entry host has no configuration after 10 s")
		}
	}
	ts.Setenv("PERSIMMONMUX_ADDRESS", operators.Addr().String())
	ts.Setenv("PERSIMMONMUX_TOKEN", operatorToken)
	ts.Setenv("LOSSY_ADDRESS", lossy.Addr().String())
	deployments.Store(ts.Getenv("WORK"), d)
}

// deployments maps the work directory of each script to its *deployment.
var deployments sync.Map

// setPlatform is the script command "platform unavailable" or "platform available".
// It makes table and host list of the script's platform fail or work again.
func setPlatform(ts *testscript.TestScript, _ bool, arguments []string) {
	found, ok := deployments.Load(ts.Getenv("WORK"))
	if !ok || len(arguments) != 1 {
		ts.Fatalf("usage: entry-host, then platform unavailable|available")
	}
	unavailable := arguments[0] == "unavailable"
	found.(*deployment).platform.SetFaults(platform.ServerFaults{
		Table: platform.TableFaults{Unavailable: unavailable}, HostsUnavailable: unavailable,
	})
}

// forwardRequestsOnly forwards each connection's requests to target and closes the
// connection when target responds. The response is not forwarded, so the client
// cannot tell whether its change was made.
func forwardRequestsOnly(listener net.Listener, target string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer client.Close()
			host, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer host.Close()
			go func() { _, _ = io.Copy(host, client) }()
			// Target responds after it made the change, so closing on the first
			// byte of the response loses only the response.
			_, _ = host.Read(make([]byte, 1))
		}()
	}
}

// initialConfiguration returns revision 1 of the entry host in scripts, with one
// element of each type.
func initialConfiguration() *configuration.Configuration {
	engine := fleet.Engine{
		Name: "sprachmodelle-1", Pool: "sprachmodelle", FailureDomain: "muc-a", Address: "127.0.0.1:1",
		AdapterSlots: 8, BatchSize: 16, Fencing: fleet.FencingEnforced,
	}
	return &configuration.Configuration{
		Revision: 1,
		Adapters: map[fleet.AdapterName]configuration.Adapter{
			"latin-grammar": {Name: "latin-grammar", Versions: []fleet.AdapterVersion{1, 2}, Current: 2},
		},
		Kinds: map[configuration.KindName]configuration.Kind{
			"chat": {Name: "chat", Urgency: configuration.UrgencyInteractive, Repeat: configuration.RepeatAllowed, Timeout: 20 * time.Second, Objective: 0.95},
		},
		Applications: map[configuration.ApplicationName]configuration.Application{
			"portal": {Name: "portal", TokenHash: strings.Repeat("0a", 32), Kinds: []configuration.KindName{"chat"}, MaxConcurrency: 4},
		},
		Engines: map[fleet.EngineName]fleet.Engine{engine.Name: engine},
		Services: map[configuration.ServiceName]configuration.Service{
			"belegung": {Name: "belegung", Servers: []configuration.Server{{Name: "belegung-1", FailureDomain: "muc-a", Address: "127.0.0.1:2"}}},
		},
	}
}
