package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// An adapterCommand groups the subcommands for adapters and their versions.
type adapterCommand struct {
	Operator operatorOptions `group:"operator options"`

	List       adapterListCommand       `command:"list" description:"List adapters"`
	Show       adapterShowCommand       `command:"show" description:"Show one adapter"`
	Create     adapterCreateCommand     `command:"create" description:"Create an adapter"`
	Version    adapterVersionCommand    `command:"version" description:"Add or retire a version"`
	SetCurrent adapterSetCurrentCommand `command:"set-current" description:"Choose the version for requests that name none"`
	Retire     adapterRetireCommand     `command:"retire" description:"Retire an adapter with all versions"`
}

func newAdapterCommand(stdout, stderr io.Writer) *adapterCommand {
	a := &adapterCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	o := &a.Operator
	a.List.operator, a.Show.operator, a.Create.operator = o, o, o
	a.Version.Add.operator, a.Version.Retire.operator = o, o
	a.SetCurrent.operator, a.Retire.operator = o, o
	return a
}

func (*adapterCommand) name() string  { return "adapter" }
func (*adapterCommand) short() string { return "List and change adapters and their versions" }
func (*adapterCommand) long() string {
	return "Lists, creates, changes and retires LoRA adapters and their versions.\n\nExample: persimmonmux adapter version add latin-grammar 3 --current"
}

// An adapterArgument is the positional argument of commands on one adapter.
type adapterArgument struct {
	Name string `positional-arg-name:"ADAPTER" description:"name of the adapter"`
}

// A versionArgument holds the positional arguments of commands on one version of an
// adapter.
type versionArgument struct {
	Name    string      `positional-arg-name:"ADAPTER" description:"name of the adapter"`
	Version wholeNumber `positional-arg-name:"VERSION" description:"number of the version, from 1"`
}

// A prefixArgument is the optional argument of list commands. The empty prefix
// selects all names.
type prefixArgument struct {
	Prefix string `positional-arg-name:"PREFIX" description:"what the names begin with"`
}

// An adapterListCommand lists the adapters whose names have a prefix.
type adapterListCommand struct {
	operator  *operatorOptions
	Arguments prefixArgument `positional-args:"yes"`
}

// Execute requests the adapters from the entry host and prints them.
func (a *adapterListCommand) Execute([]string) error {
	return a.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		adapters, freshness, err := client.ListAdapters(ctx, a.Arguments.Prefix)
		if err != nil {
			return err
		}
		return a.operator.printListing(freshness, adapterListing(adapters))
	})
}

// adapterListing returns the output for adapters, one row each.
func adapterListing(adapters []configuration.Adapter) listing {
	l := listing{name: "adapters", value: adapters, header: []string{"ADAPTER", "CURRENT", "VERSIONS"}}
	for _, adapter := range adapters {
		l.rows = append(l.rows, []string{string(adapter.Name), fmt.Sprint(adapter.Current), joinOrDash(adapter.Versions)})
	}
	return l
}

// An adapterShowCommand shows one adapter.
type adapterShowCommand struct {
	operator  *operatorOptions
	Arguments adapterArgument `positional-args:"yes" required:"yes"`
}

// Execute requests the adapters whose names begin with the given name and prints
// the one that has exactly this name.
func (a *adapterShowCommand) Execute([]string) error {
	return a.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		adapters, freshness, err := client.ListAdapters(ctx, a.Arguments.Name)
		if err != nil {
			return err
		}
		found, exists := findByName(adapters, func(a configuration.Adapter) string { return string(a.Name) }, a.Arguments.Name)
		if !exists {
			return verdict.NewNotRun(verdict.CodeUnknownAdapter, "adapter %q does not exist", a.Arguments.Name)
		}
		return a.operator.printListing(freshness, adapterListing([]configuration.Adapter{found}))
	})
}

// An adapterCreateCommand creates an adapter.
type adapterCreateCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Versions  []int           `long:"version" value-name:"N" default:"1" description:"version of the adapter; may be given more than once"`
	Current   int             `long:"current" value-name:"N" description:"version for requests that name none (default: the highest)"`
	Arguments adapterArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change. Without --current the highest version becomes the
// current one.
func (a *adapterCreateCommand) Execute([]string) error {
	adapter := configuration.Adapter{Name: fleet.AdapterName(a.Arguments.Name), Current: fleet.AdapterVersion(a.Current)}
	for _, version := range slices.Sorted(slices.Values(a.Versions)) {
		adapter.Versions = append(adapter.Versions, fleet.AdapterVersion(version))
	}
	if adapter.Current == 0 {
		adapter.Current = slices.Max(adapter.Versions)
	}
	return a.operator.change(&a.Change, operation.CreateAdapter{Adapter: adapter})
}

// An adapterVersionCommand groups the subcommands for versions of an adapter.
type adapterVersionCommand struct {
	Add    adapterVersionAddCommand    `command:"add" description:"Add a version to an adapter"`
	Retire adapterVersionRetireCommand `command:"retire" description:"Retire a version that is not the current one"`
}

// An adapterVersionAddCommand adds a version to an adapter.
type adapterVersionAddCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Current   bool            `long:"current" description:"also make it the current version"`
	Arguments versionArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (a *adapterVersionAddCommand) Execute([]string) error {
	return a.operator.change(&a.Change, operation.AddVersion{
		Adapter: fleet.AdapterName(a.Arguments.Name), Version: fleet.AdapterVersion(a.Arguments.Version), Current: a.Current,
	})
}

// An adapterVersionRetireCommand retires one version of an adapter.
type adapterVersionRetireCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Arguments versionArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (a *adapterVersionRetireCommand) Execute([]string) error {
	return a.operator.change(&a.Change, operation.RetireVersion{
		Adapter: fleet.AdapterName(a.Arguments.Name), Version: fleet.AdapterVersion(a.Arguments.Version),
	})
}

// An adapterSetCurrentCommand sets the version that requests get when they name
// only the adapter.
type adapterSetCurrentCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Arguments versionArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (a *adapterSetCurrentCommand) Execute([]string) error {
	return a.operator.change(&a.Change, operation.SetCurrent{
		Adapter: fleet.AdapterName(a.Arguments.Name), Version: fleet.AdapterVersion(a.Arguments.Version),
	})
}

// An adapterRetireCommand retires an adapter with all its versions.
type adapterRetireCommand struct {
	operator  *operatorOptions
	Change    changeOptions   `group:"change options"`
	Arguments adapterArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (a *adapterRetireCommand) Execute([]string) error {
	return a.operator.change(&a.Change, operation.RetireAdapter{Name: fleet.AdapterName(a.Arguments.Name)})
}
