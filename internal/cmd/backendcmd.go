package cmd

import (
	"context"
	"io"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// A backendCommand groups the subcommands for backend servers.
type backendCommand struct {
	Operator operatorOptions `group:"operator options"`

	List    backendListCommand    `command:"list" description:"List backend servers"`
	Drain   backendDrainCommand   `command:"drain" description:"Give a backend server no new work"`
	Undrain backendUndrainCommand `command:"undrain" description:"Give a drained backend server work again"`
}

func newBackendCommand(stdout, stderr io.Writer) *backendCommand {
	b := &backendCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	o := &b.Operator
	b.List.operator, b.Drain.operator, b.Undrain.operator = o, o, o
	return b
}

func (*backendCommand) name() string  { return "backend" }
func (*backendCommand) short() string { return "List, drain and undrain backend servers" }
func (*backendCommand) long() string {
	return "Lists engines and servers of plain services, drains them and ends their draining. Requests that run on a drained server go on.\n\nExample: persimmonmux backend drain sprachmodelle-3"
}

// A backendArgument is the positional argument of commands on one backend server.
type backendArgument struct {
	Name string `positional-arg-name:"SERVER" description:"name of the backend server"`
}

// A backendListCommand lists the backend servers whose names have a prefix.
type backendListCommand struct {
	operator  *operatorOptions
	Arguments prefixArgument `positional-args:"yes"`
}

// Execute requests the backend servers from the entry host and prints them.
func (b *backendListCommand) Execute([]string) error {
	return b.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		servers, freshness, err := client.ListServers(ctx, b.Arguments.Prefix)
		if err != nil {
			return err
		}
		l := listing{
			name: "servers", value: servers,
			header: []string{"SERVER", "ROLE", "GROUP", "FAILURE DOMAIN", "ADDRESS", "DRAINING", "LEAVING"},
		}
		for _, s := range servers {
			l.rows = append(l.rows, []string{
				s.Name, string(s.Role), s.Group, string(s.FailureDomain), s.Address, wordOrDash(s.Draining, "draining"), wordOrDash(s.Leaving, "leaving"),
			})
		}
		return b.operator.printListing(freshness, l)
	})
}

// A backendDrainCommand drains a backend server: it gets no new requests, and those
// that run on it go on.
type backendDrainCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Arguments backendArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (b *backendDrainCommand) Execute([]string) error {
	return b.operator.change(&b.Change, operation.SetDraining{Server: b.Arguments.Name, Draining: true})
}

// A backendUndrainCommand ends the draining of a backend server.
type backendUndrainCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Arguments backendArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (b *backendUndrainCommand) Execute([]string) error {
	return b.operator.change(&b.Change, operation.SetDraining{Server: b.Arguments.Name})
}
