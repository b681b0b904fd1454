package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dailyreport"
	"github.com/persimmonmux/persimmonmux/internal/reportpage"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// A reportCommand groups the reports, one subcommand each.
type reportCommand struct {
	Day  reportDayCommand  `command:"day" description:"Print the page of a day"`
	Burn reportBurnCommand `command:"burn" description:"Print the service-level burn"`
}

func newReportCommand(stdout io.Writer) *reportCommand {
	return &reportCommand{Day: reportDayCommand{stdout: stdout}, Burn: reportBurnCommand{stdout: stdout}}
}

func (*reportCommand) name() string  { return "report" }
func (*reportCommand) short() string { return "Report on a day from the records of the hosts" }
func (*reportCommand) long() string {
	return "Reads the records that entry hosts leave in the platform's object store. Days are in UTC."
}

// Execute does nothing, because the parser rejects a command line without a
// subcommand.
func (*reportCommand) Execute([]string) error { return nil }

// reportSource holds the options that all reports share.
type reportSource struct {
	Platform string `long:"platform" required:"true" value-name:"IP:PORT" description:"address of the platform"`
	Output   string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the report on standard output"`
}

// readDay reads the records of a day from the platform's object store. An interrupt
// cancels the read.
func (s *reportSource) readDay(date, now time.Time) (*dailyreport.DayRecords, error) {
	address, err := netip.ParseAddrPort(s.Platform)
	if err != nil {
		return nil, fmt.Errorf("platform %q: expected an IP address and a port", s.Platform)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	store := &platform.Store{Address: address.String(), Client: &backend.Client{}}
	defer func() { _ = store.Close() }()
	return dailyreport.ReadDay(ctx, store, date, now)
}

// A reportDayCommand prints the report of one day in UTC.
type reportDayCommand struct {
	stdout io.Writer

	reportSource
	Date string `long:"date" required:"true" value-name:"YYYY-MM-DD" description:"day in UTC"`
	HTML string `long:"html" value-name:"FILE" description:"file for the page with plots"`
}

// Execute evaluates the day and prints the report; with --html it also writes the
// page with plots.
func (r *reportDayCommand) Execute([]string) error {
	now := time.Now().UTC()
	date, err := time.Parse(time.DateOnly, r.Date)
	if err != nil {
		return fmt.Errorf("date %q: expected YYYY-MM-DD", r.Date)
	}
	if date.After(now) {
		return fmt.Errorf("date %s: the day has not begun in UTC", r.Date)
	}
	day, err := r.readDay(date, now)
	if err != nil {
		return err
	}
	report := dailyreport.Evaluate(day)
	if r.HTML != "" {
		if err := writeHTML(r.HTML, report); err != nil {
			return err
		}
	}
	if r.Output == "json" {
		return json.NewEncoder(r.stdout).Encode(report)
	}
	return reportpage.WriteText(r.stdout, report)
}

// writeHTML writes the report as an HTML page to the named file.
func writeHTML(name string, report *dailyreport.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := reportpage.WriteHTML(file, report); err != nil {
		_ = file.Close()
		return fmt.Errorf("page %s: %w", name, err)
	}
	return file.Close()
}

// A reportBurnCommand prints how fast the requests of today use up their error
// budgets.
type reportBurnCommand struct {
	stdout io.Writer

	reportSource
}

// Execute evaluates the burn at the present time and prints it.
func (r *reportBurnCommand) Execute([]string) error {
	now := time.Now().UTC()
	day, err := r.readDay(now, now)
	if err != nil {
		return err
	}
	burns := dailyreport.EvaluateBurn(day)
	if r.Output == "json" {
		return json.NewEncoder(r.stdout).Encode(burns)
	}
	return reportpage.WriteBurnText(r.stdout, burns, day.Until)
}
