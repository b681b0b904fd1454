package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// revisionPollInterval is the time between two requests for the status of a revision.
// Each request costs one read of the platform's table.
const revisionPollInterval = 500 * time.Millisecond

// A revisionCommand groups the subcommands for revisions of the configuration.
type revisionCommand struct {
	Operator operatorOptions `group:"operator options"`

	Show revisionShowCommand `command:"show" description:"Show where a revision is in force"`
}

func newRevisionCommand(stdout, stderr io.Writer) *revisionCommand {
	r := &revisionCommand{Operator: operatorOptions{stdout: stdout, stderr: stderr}}
	r.Show.operator = &r.Operator
	return r
}

func (*revisionCommand) name() string { return "revision" }
func (*revisionCommand) short() string {
	return "Show where a revision of the configuration is in force"
}
func (*revisionCommand) long() string {
	return "Shows which entry hosts have a revision in force, which have not, and which cannot be heard. A host that cannot be heard may have it.\n\nExample: persimmonmux revision show 17 --wait --timeout 11s"
}

// A revisionShowCommand shows on which entry hosts a revision is applied.
type revisionShowCommand struct {
	operator  *operatorOptions
	Wait      bool          `long:"wait" description:"wait until the revision is in force on every host"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"longest time to wait"`
	Arguments struct {
		Revision wholeNumber `positional-arg-name:"N" description:"revision (default: the highest accepted one)"`
	} `positional-args:"yes"`
}

// Execute prints the status of a revision. With --wait it fails if the revision is
// not applied on every host when the timeout has passed.
func (r *revisionShowCommand) Execute([]string) error {
	if r.Timeout <= 0 {
		return usageError("timeout %s: expected more than 0", r.Timeout)
	}
	return r.operator.withClient(func(ctx context.Context, client *operator.Client) error {
		number := configuration.Revision(r.Arguments.Revision)
		shown, freshness, err := client.ShowRevision(ctx, number)
		if r.Wait {
			if number == 0 {
				number = shown.Revision
			}
			shown, freshness, err = r.wait(ctx, client, number, shown, freshness, err)
		}
		if err != nil {
			return err
		}
		if err := r.operator.printListing(freshness, revisionListing(shown)); err != nil {
			return err
		}
		if r.Wait && !appliedEverywhere(shown) {
			return verdict.NewNotRun(verdict.CodeDeadline, "revision %d is not in force everywhere after %s: %d hosts have it not, %d are silent",
				shown.Revision, r.Timeout, len(shown.Pending), len(shown.Unreachable))
		}
		return nil
	})
}

// wait requests the status of a revision until the revision is applied on every
// host, the request fails, or the timeout has passed. It starts from the first status
// or error and returns the last one. A revision that the host does not know is
// requested again, because the host may not have received it yet.
func (r *revisionShowCommand) wait(
	ctx context.Context, client *operator.Client, number configuration.Revision,
	shown operation.RevisionStatus, freshness operation.Freshness, err error,
) (operation.RevisionStatus, operation.Freshness, error) {
	end := time.Now().Add(r.Timeout)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for (err == nil && !appliedEverywhere(shown)) || isUnknownRevision(err) {
		select {
		case <-ctx.Done():
			return shown, freshness, err
		case <-ticker.C:
		}
		again, fresh, failure := client.ShowRevision(ctx, number)
		// A dial can fail at the deadline shortly before the context is done. Its
		// error must not replace the last status.
		if ctx.Err() != nil || !time.Now().Before(end) {
			return shown, freshness, err
		}
		shown, freshness, err = again, fresh, failure
	}
	return shown, freshness, err
}

// appliedEverywhere reports whether every host has applied the revision. An
// unreachable host counts as one that has it not, because it may lack it.
func appliedEverywhere(r operation.RevisionStatus) bool {
	return r.Revision > 0 && len(r.Pending) == 0 && len(r.Unreachable) == 0
}

// isUnknownRevision reports whether err says that the host does not know the
// revision.
func isUnknownRevision(err error) bool {
	var failure *verdict.Error
	return errors.As(err, &failure) && failure.Code == verdict.CodeUnknownName
}

// revisionListing returns the output for a revision, one row for each host.
func revisionListing(r operation.RevisionStatus) listing {
	l := listing{name: "revision", value: r, header: []string{"REVISION", "HOST", "IN FORCE"}}
	for _, name := range r.Applied {
		l.rows = append(l.rows, []string{fmt.Sprint(r.Revision), string(name), "yes"})
	}
	for _, name := range r.Pending {
		l.rows = append(l.rows, []string{fmt.Sprint(r.Revision), string(name), "no"})
	}
	for _, name := range r.Unreachable {
		l.rows = append(l.rows, []string{fmt.Sprint(r.Revision), string(name), "cannot be heard"})
	}
	return l
}
