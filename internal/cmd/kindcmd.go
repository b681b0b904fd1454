package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// A kindCommand groups the subcommands for kinds of requests.
type kindCommand struct {
	Operator operatorOptions `group:"operator options"`

	List   kindListCommand   `command:"list" description:"List kinds"`
	Show   kindShowCommand   `command:"show" description:"Show one kind"`
	Set    kindSetCommand    `command:"set" description:"Create or change a kind"`
	Retire kindRetireCommand `command:"retire" description:"Retire a kind that no application uses"`
}

func newKindCommand(stdout, stderr io.Writer) *kindCommand {
	k := &kindCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	o := &k.Operator
	k.List.operator, k.Show.operator, k.Set.operator, k.Retire.operator = o, o, o, o
	return k
}

func (*kindCommand) name() string  { return "kind" }
func (*kindCommand) short() string { return "List and change the kinds of requests" }
func (*kindCommand) long() string {
	return "Lists, creates, changes and retires kinds of requests: their urgency, repeat rule, deadline and objective.\n\nExample: persimmonmux kind set enrolment --urgency prompt --repeat forbidden --deadline 10s --objective 0.99"
}

// A kindArgument is the positional argument of commands on one kind.
type kindArgument struct {
	Name string `positional-arg-name:"KIND" description:"name of the kind"`
}

// A kindListCommand lists the kinds whose names have a prefix.
type kindListCommand struct {
	operator  *operatorOptions
	Arguments prefixArgument `positional-args:"yes"`
}

// Execute requests the kinds from the entry host and prints them.
func (k *kindListCommand) Execute([]string) error {
	return k.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		kinds, freshness, err := client.ListKinds(ctx, k.Arguments.Prefix)
		if err != nil {
			return err
		}
		return k.operator.printListing(freshness, kindListing(kinds))
	})
}

// kindListing returns the output for kinds, one row each.
func kindListing(kinds []configuration.Kind) listing {
	l := listing{name: "kinds", value: kinds, header: []string{"KIND", "URGENCY", "REPEAT", "DEADLINE", "OBJECTIVE"}}
	for _, kind := range kinds {
		l.rows = append(l.rows, []string{
			string(kind.Name), string(kind.Urgency), string(kind.Repeat), kind.Timeout.String(), fmt.Sprint(kind.Objective),
		})
	}
	return l
}

// A kindShowCommand shows one kind.
type kindShowCommand struct {
	operator  *operatorOptions
	Arguments kindArgument `positional-args:"yes" required:"yes"`
}

// Execute requests the kinds whose names begin with the given name and prints the
// one that has exactly this name.
func (k *kindShowCommand) Execute([]string) error {
	return k.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		kinds, freshness, err := client.ListKinds(ctx, k.Arguments.Name)
		if err != nil {
			return err
		}
		found, exists := findByName(kinds, func(k configuration.Kind) string { return string(k.Name) }, k.Arguments.Name)
		if !exists {
			return verdict.NewNotRun(verdict.CodeUnknownKind, "kind %q does not exist", k.Arguments.Name)
		}
		return k.operator.printListing(freshness, kindListing([]configuration.Kind{found}))
	})
}

// A kindSetCommand creates or changes a kind.
type kindSetCommand struct {
	operator  *operatorOptions
	Change    changeOptions  `group:"change options"`
	Urgency   string         `long:"urgency" value-name:"URGENCY" description:"interactive, prompt or deferred"`
	Repeat    string         `long:"repeat" value-name:"RULE" description:"allowed, or forbidden for requests that may run at most once"`
	Deadline  *time.Duration `long:"deadline" value-name:"DURATION" description:"how long a caller waits at most, such as 20s"`
	Objective *float64       `long:"objective" value-name:"SHARE" description:"share of requests to be answered in time, from 0 to 1"`
	Arguments kindArgument   `positional-args:"yes" required:"yes"`
}

// Execute sends the change. Fields whose options are missing keep their values.
func (k *kindSetCommand) Execute([]string) error {
	edit := operation.SetKind{
		Name: configuration.KindName(k.Arguments.Name), Urgency: configuration.Urgency(k.Urgency),
		Repeat: configuration.RepeatRule(k.Repeat), Objective: k.Objective,
	}
	if k.Deadline != nil {
		// In SetKind a zero deadline means that the deadline stays as it is, so
		// zero cannot be set.
		if *k.Deadline <= 0 {
			return usageError("deadline %s: expected more than 0", *k.Deadline)
		}
		edit.Deadline = *k.Deadline
	}
	return k.operator.change(&k.Change, edit)
}

// A kindRetireCommand retires a kind.
type kindRetireCommand struct {
	operator  *operatorOptions
	Change    changeOptions `group:"change options"`
	Arguments kindArgument  `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (k *kindRetireCommand) Execute([]string) error {
	return k.operator.change(&k.Change, operation.RetireKind{Name: configuration.KindName(k.Arguments.Name)})
}
