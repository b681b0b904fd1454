package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// operatorOptions holds the options that all commands share that call an entry host
// as an operator, and the writers for their output.
type operatorOptions struct {
	stdout, stderr io.Writer

	Address string `long:"address" env:"PERSIMMONMUX_ADDRESS" value-name:"HOST:PORT" description:"operator address of an entry host"`
	Token   string `long:"token" env:"PERSIMMONMUX_TOKEN" default-mask:"-" description:"operators' token; the environment variable keeps it out of process lists"`
	Output  string `long:"output" default:"table" choice:"table" choice:"json" description:"form of the output"`
}

// changeOptions holds the options that all commands share that change the
// configuration.
type changeOptions struct {
	ExpectedRevision *uint64 `long:"expected-revision" value-name:"N" description:"revision that the change is made to (default: the present one)"`
	OperationID      string  `long:"operation-id" value-name:"ID" description:"identity of the change; repeat a command with the same one to learn its outcome (default: a fresh UUID)"`
}

// usageError returns an error for which exitCode returns exitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

// A wholeNumber is a positional argument from 0 to 2^31-1.
type wholeNumber uint64

// UnmarshalFlag implements flags.Unmarshaler. With the parsing of go-flags, a
// malformed argument would give exitFailure instead of exitUsage.
func (n *wholeNumber) UnmarshalFlag(text string) error {
	parsed, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return usageError("argument %q: expected a whole number", text)
	}
	*n = wholeNumber(parsed)
	return nil
}

// newClient returns a client for the entry host at Address.
func (o *operatorOptions) newClient() (*operator.Client, error) {
	if o.Address == "" {
		return nil, usageError("--address or PERSIMMONMUX_ADDRESS is missing, expected the operator address of an entry host")
	}
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return nil, usageError("address %q: expected a host and a port", o.Address)
	}
	return &operator.Client{Address: o.Address, Token: o.Token}, nil
}

// withClient runs a read with a client for the entry host. An interrupt cancels the
// context of the read.
func (o *operatorOptions) withClient(read func(context.Context, *operator.Client) error) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := read(ctx, client); err != nil {
		return newOperatorError(err, "", o.Output == "json")
	}
	return nil
}

// change sends an edit to the entry host and prints the accepted revision. Without
// --expected-revision the edit applies to the head, which is read first.
func (o *operatorOptions) change(c *changeOptions, edit operation.Edit) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	request := operation.EditRequest{OperationID: configuration.OperationID(c.OperationID), Edit: edit}
	if request.OperationID == "" {
		request.OperationID = configuration.OperationID(uuid.NewString())
	}
	if c.ExpectedRevision != nil {
		request.ExpectedRevision = configuration.Revision(*c.ExpectedRevision)
	} else {
		_, freshness, err := client.ShowRevision(ctx, 0)
		if err != nil {
			return newOperatorError(err, "", o.Output == "json")
		}
		request.ExpectedRevision = freshness.Head
	}
	result, err := client.Change(ctx, request)
	if err != nil {
		return newOperatorError(err, request.OperationID, o.Output == "json")
	}
	if o.Output == "json" {
		return o.printJSON(struct {
			operation.EditResult
			Operation configuration.OperationID `json:"operation"`
		}{result, request.OperationID})
	}
	note := ""
	if result.Repeated {
		note = " by an earlier call"
	}
	fmt.Fprintf(o.stdout, "revision %d accepted%s, operation %s\n", result.Revision, note, request.OperationID)
	return nil
}

// A listing is the output of a command, both as a table and as a JSON value.
type listing struct {
	// name is the key of value in the JSON object.
	name  string
	value any
	// header and rows are the table; each row has as many cells as header.
	header []string
	rows   [][]string
}

// printListing prints a listing in the chosen form. If the data of a table may be out
// of date, it prints a note about that on standard error.
func (o *operatorOptions) printListing(f operation.Freshness, l listing) error {
	if o.Output == "json" {
		return o.printJSON(map[string]any{"freshness": f, l.name: l.value})
	}
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(l.header, "\t"))
	for _, row := range l.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if note := freshnessNote(f); note != "" {
		fmt.Fprintf(o.stderr, "persimmonmux: %s\n", note)
	}
	return nil
}

func (o *operatorOptions) printJSON(value any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// freshnessNote returns why an answer may be out of date, or "" if it is current.
func freshnessNote(f operation.Freshness) string {
	switch {
	case f.PlatformUnreachable && f.Age == nil:
		return fmt.Sprintf("platform unreachable: this is what host %s knows at revision %d, never confirmed to operators", f.Host, f.Revision)
	case f.PlatformUnreachable:
		return fmt.Sprintf("platform unreachable: this is what host %s knows at revision %d, confirmed %s ago", f.Host, f.Revision, f.Age.Round(time.Second/10))
	case f.Head > f.Revision:
		return fmt.Sprintf("host %s is at revision %d, the head is %d", f.Host, f.Revision, f.Head)
	}
	return ""
}

// findByName returns the element of list whose name equals wanted. Lists of an entry
// host are selected by prefix, so they may hold longer names as well.
func findByName[V any](list []V, name func(V) string, wanted string) (V, bool) {
	for _, candidate := range list {
		if name(candidate) == wanted {
			return candidate, true
		}
	}
	var none V
	return none, false
}

// wordOrDash returns word if holds is true, and "-" otherwise.
func wordOrDash(holds bool, word string) string {
	if holds {
		return word
	}
	return "-"
}

// joinOrDash returns the names separated by commas, or "-" if there are none.
func joinOrDash[N any](names []N) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(names), "[]"), " ", ",")
}
