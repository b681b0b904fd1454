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

// operatorOptions are the options of all commands that call an entry host as an
// operator.
type operatorOptions struct {
	stdout, stderr io.Writer

	Address string `long:"address" env:"PERSIMMONMUX_ADDRESS" value-name:"HOST:PORT" description:"operator address of an entry host"`
	Token   string `long:"token" env:"PERSIMMONMUX_TOKEN" default-mask:"-" description:"operators' token; the environment variable keeps it out of process lists"`
	Output  string `long:"output" default:"table" choice:"table" choice:"json" description:"form of the output"`
}

// changeOptions are the options of all commands that change the configuration.
type changeOptions struct {
	ExpectedRevision *uint64 `long:"expected-revision" value-name:"N" description:"revision that the change is made to (default: the present one)"`
	OperationID      string  `long:"operation-id" value-name:"ID" description:"identity of the change; repeat a command with the same one to learn its outcome (default: a fresh UUID)"`
}

// usage returns an error that leads to the exit code for wrong usage.
func usage(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

// A wholeNumber is an argument that is a whole number.
type wholeNumber uint64

// UnmarshalFlag implements flags.Unmarshaler. Without it a wrong argument would
// end with the exit code of a failure.
func (n *wholeNumber) UnmarshalFlag(text string) error {
	parsed, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return usage("argument %q: expected a whole number", text)
	}
	*n = wholeNumber(parsed)
	return nil
}

// client returns the client of the entry host.
func (o *operatorOptions) client() (*operator.Client, error) {
	if o.Address == "" {
		return nil, usage("--address or PERSIMMONMUX_ADDRESS is missing, expected the operator address of an entry host")
	}
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return nil, usage("address %q: expected a host and a port", o.Address)
	}
	return &operator.Client{Address: o.Address, Token: o.Token}, nil
}

// call runs one call of an operator until it ends or an interrupt comes.
func (o *operatorOptions) call(use func(context.Context, *operator.Client) error) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := use(ctx, client); err != nil {
		return newOperatorError(err, "", o.Output == "json")
	}
	return nil
}

// change makes an edit and prints the revision that it led to.
func (o *operatorOptions) change(c *changeOptions, edit operation.Edit) error {
	client, err := o.client()
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
		return o.encode(struct {
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

// A listing is what a command prints: a table for people or a value for programs.
type listing struct {
	// name is the key of value in JSON.
	name  string
	value any
	// header and rows are the table.
	header []string
	rows   [][]string
}

// show prints a listing. A table goes with a note on standard error when it may
// be out of date.
func (o *operatorOptions) show(f operation.Freshness, l listing) error {
	if o.Output == "json" {
		return o.encode(map[string]any{"freshness": f, l.name: l.value})
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

func (o *operatorOptions) encode(value any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// freshnessNote returns why an answer may be out of date, or nothing.
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

// element returns the only element whose name is the given one, from a list of
// those whose names begin with it.
func element[V any](list []V, name func(V) string, wanted string) (V, bool) {
	for _, candidate := range list {
		if name(candidate) == wanted {
			return candidate, true
		}
	}
	var none V
	return none, false
}

// mark returns a word for a condition, or a dash.
func mark(holds bool, word string) string {
	if holds {
		return word
	}
	return "-"
}

// joined returns names with commas, or a dash for none.
func joined[N any](names []N) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(names), "[]"), " ", ",")
}
