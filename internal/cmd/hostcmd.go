package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// A hostCommand groups the subcommands for entry hosts.
type hostCommand struct {
	Operator operatorOptions `group:"operator options"`

	List hostListCommand `command:"list" description:"List entry hosts"`
}

func newHostCommand(stdout, stderr io.Writer) *hostCommand {
	h := &hostCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	h.List.operator = &h.Operator
	return h
}

func (*hostCommand) name() string  { return "host" }
func (*hostCommand) short() string { return "List entry hosts" }
func (*hostCommand) long() string {
	return "Lists entry hosts as the called host sees them, with their states and revisions.\n\nExample: persimmonmux host list muc-"
}

// A hostListCommand lists the entry hosts whose names have a prefix.
type hostListCommand struct {
	operator  *operatorOptions
	Arguments prefixArgument `positional-args:"yes"`
}

// Execute requests the host list from the entry host and prints it.
func (h *hostListCommand) Execute([]string) error {
	return h.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		hosts, freshness, err := client.ListHosts(ctx, h.Arguments.Prefix)
		if err != nil {
			return err
		}
		l := listing{
			name: "hosts", value: hosts,
			header: []string{"HOST", "STATE", "HEARD", "REVISION", "FAILURE DOMAIN", "REGION", "PEER ADDRESS"},
		}
		for _, host := range hosts {
			l.rows = append(l.rows, []string{
				string(host.Name), string(host.State), wordOrDash(host.Reachable, "heard"), fmt.Sprint(host.Revision),
				string(host.FailureDomain), string(host.Region), host.PeerAddress,
			})
		}
		return h.operator.printListing(freshness, l)
	})
}
