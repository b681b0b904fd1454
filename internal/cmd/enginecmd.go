package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// An engineCommand groups the subcommands for engines.
type engineCommand struct {
	Operator operatorOptions `group:"operator options"`

	List engineListCommand `command:"list" description:"List engines"`
}

func newEngineCommand(stdout, stderr io.Writer) *engineCommand {
	e := &engineCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	e.List.operator = &e.Operator
	return e
}

func (*engineCommand) name() string  { return "engine" }
func (*engineCommand) short() string { return "List engines with owner, instances and load" }
func (*engineCommand) long() string {
	return "Lists engines with their owner, its epoch, the instances that may be granted and the load. Load figures lag.\n\nExample: persimmonmux engine list sprachmodelle-"
}

// An engineListCommand lists the engines whose names have a prefix.
type engineListCommand struct {
	operator  *operatorOptions
	Arguments prefixArgument `positional-args:"yes"`
}

// Execute requests the engines from the entry host and prints them.
func (e *engineListCommand) Execute([]string) error {
	return e.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		engines, freshness, err := client.ListEngines(ctx, e.Arguments.Prefix)
		if err != nil {
			return err
		}
		l := listing{
			name: "engines", value: engines,
			header: []string{"ENGINE", "FAILURE DOMAIN", "OWNER", "OWNER HEARD", "EPOCH", "INSTANCES", "SLOTS", "RUNNING", "WAITING", "DRAINING"},
		}
		for _, engine := range engines {
			l.rows = append(l.rows, []string{
				string(engine.Name), string(engine.FailureDomain), wordOrDash(engine.Owner != "", string(engine.Owner)), wordOrDash(engine.OwnerReachable, "heard"),
				fmt.Sprint(engine.Epoch), fmt.Sprint(len(engine.Instances)), fmt.Sprint(engine.Slots),
				fmt.Sprint(engine.Running), fmt.Sprint(engine.Waiting), wordOrDash(engine.Draining, "draining"),
			})
		}
		return e.operator.printListing(freshness, l)
	})
}
