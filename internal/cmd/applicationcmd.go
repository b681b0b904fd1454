package cmd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// An applicationCommand groups the subcommands for applications.
type applicationCommand struct {
	Operator operatorOptions `group:"operator options"`

	List   applicationListCommand   `command:"list" description:"List applications"`
	Show   applicationShowCommand   `command:"show" description:"Show one application"`
	Set    applicationSetCommand    `command:"set" description:"Create or change an application"`
	Retire applicationRetireCommand `command:"retire" description:"Retire an application"`
}

func newApplicationCommand(stdout, stderr io.Writer) *applicationCommand {
	a := &applicationCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	o := &a.Operator
	a.List.operator, a.Show.operator, a.Set.operator, a.Retire.operator = o, o, o, o
	return a
}

func (*applicationCommand) name() string  { return "application" }
func (*applicationCommand) short() string { return "List and change the applications that call" }
func (*applicationCommand) long() string {
	return "Lists, creates, changes and retires applications. The configuration holds only the SHA-256 of an application's token.\n\nExample: persimmonmux application set portal --kind chat --kind enrolment --token-file portal.token"
}

// An applicationArgument is the positional argument of commands on one application.
type applicationArgument struct {
	Name string `positional-arg-name:"APPLICATION" description:"name of the application"`
}

// An applicationListCommand lists the applications whose names have a prefix.
type applicationListCommand struct {
	operator  *operatorOptions
	Arguments prefixArgument `positional-args:"yes"`
}

// Execute requests the applications from the entry host and prints them.
func (a *applicationListCommand) Execute([]string) error {
	return a.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		applications, freshness, err := client.ListApplications(ctx, a.Arguments.Prefix)
		if err != nil {
			return err
		}
		return a.operator.printListing(freshness, applicationListing(applications))
	})
}

// applicationListing returns the output for applications, one row each.
func applicationListing(applications []configuration.Application) listing {
	l := listing{name: "applications", value: applications, header: []string{"APPLICATION", "KINDS", "CONCURRENCY", "TOKEN HASH"}}
	for _, application := range applications {
		l.rows = append(l.rows, []string{
			string(application.Name), joinOrDash(application.Kinds), fmt.Sprint(application.MaxConcurrency), application.TokenHash,
		})
	}
	return l
}

// An applicationShowCommand shows one application.
type applicationShowCommand struct {
	operator  *operatorOptions
	Arguments applicationArgument `positional-args:"yes" required:"yes"`
}

// Execute requests the applications whose names begin with the given name and
// prints the one that has exactly this name.
func (a *applicationShowCommand) Execute([]string) error {
	return a.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		applications, freshness, err := client.ListApplications(ctx, a.Arguments.Name)
		if err != nil {
			return err
		}
		found, exists := findByName(applications, func(a configuration.Application) string { return string(a.Name) }, a.Arguments.Name)
		if !exists {
			return verdict.NewNotRun(verdict.CodeUnknownName, "application %q does not exist", a.Arguments.Name)
		}
		return a.operator.printListing(freshness, applicationListing([]configuration.Application{found}))
	})
}

// An applicationSetCommand creates or changes an application.
type applicationSetCommand struct {
	operator    *operatorOptions
	Change      changeOptions       `group:"change options"`
	TokenHash   string              `long:"token-hash" value-name:"HASH" description:"SHA-256 of the application's token in hexadecimal"`
	TokenFile   string              `long:"token-file" value-name:"FILE" description:"file with the application's token, of which only the hash is sent; a line end after the token is left out"`
	Kinds       []string            `long:"kind" value-name:"KIND" description:"kind that it may use, the first one is the default; may be given more than once and replaces the present list"`
	Concurrency *int                `long:"concurrency" value-name:"N" description:"most requests in flight at one entry host; 0 means no limit"`
	Arguments   applicationArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change. Fields whose options are missing keep their values. Only
// the hash of the application's token is sent, never the token.
func (a *applicationSetCommand) Execute([]string) error {
	if a.TokenHash != "" && a.TokenFile != "" {
		return usageError("--token-hash and --token-file are both given, expected one of them")
	}
	edit := operation.SetApplication{
		Name: configuration.ApplicationName(a.Arguments.Name), TokenHash: a.TokenHash, Concurrency: a.Concurrency,
	}
	if a.TokenFile != "" {
		token, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return trace.Wrap(err)
		}
		hash := sha256.Sum256([]byte(strings.TrimRight(string(token), "\r\n")))
		edit.TokenHash = hex.EncodeToString(hash[:])
	}
	for _, kind := range a.Kinds {
		edit.Kinds = append(edit.Kinds, configuration.KindName(kind))
	}
	return a.operator.change(&a.Change, edit)
}

// An applicationRetireCommand retires an application.
type applicationRetireCommand struct {
	operator  *operatorOptions
	Change    changeOptions       `group:"change options"`
	Arguments applicationArgument `positional-args:"yes" required:"yes"`
}

// Execute sends the change.
func (a *applicationRetireCommand) Execute([]string) error {
	return a.operator.change(&a.Change, operation.RetireApplication{Name: configuration.ApplicationName(a.Arguments.Name)})
}
