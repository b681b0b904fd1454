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

// A reportCommand has the reports as subcommands.
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

// Execute does nothing: the parser asks for a subcommand.
func (*reportCommand) Execute([]string) error { return nil }

// reportSource has the options of every report.
type reportSource struct {
	Platform string `long:"platform" required:"true" value-name:"IP:PORT" description:"address of the platform"`
	Output   string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the report on standard output"`
}

// read reads a day from the object store.
func (s *reportSource) read(date, now time.Time) (*dailyreport.DayRecords, error) {
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

// A reportDayCommand prints the page of a day.
type reportDayCommand struct {
	stdout io.Writer

	reportSource
	Date string `long:"date" required:"true" value-name:"YYYY-MM-DD" description:"day in UTC"`
	HTML string `long:"html" value-name:"FILE" description:"file for the page with plots"`
}

// Execute prints the page and writes the HTML file if one is named.
func (r *reportDayCommand) Execute([]string) error {
	now := time.Now().UTC()
	date, err := time.Parse(time.DateOnly, r.Date)
	if err != nil {
		return fmt.Errorf("date %q: expected YYYY-MM-DD", r.Date)
	}
	if date.After(now) {
		return fmt.Errorf("date %s: the day has not begun in UTC", r.Date)
	}
	day, err := r.read(date, now)
	if err != nil {
		return err
	}
	page := dailyreport.Evaluate(day)
	if r.HTML != "" {
		if err := writeHTML(r.HTML, page); err != nil {
			return err
		}
	}
	if r.Output == "json" {
		return json.NewEncoder(r.stdout).Encode(page)
	}
	return reportpage.WriteText(r.stdout, page)
}

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

// A reportBurnCommand prints the service-level burn of today.
type reportBurnCommand struct {
	stdout io.Writer

	reportSource
}

// Execute prints the burn at the present time.
func (r *reportBurnCommand) Execute([]string) error {
	now := time.Now().UTC()
	day, err := r.read(now, now)
	if err != nil {
		return err
	}
	burns := dailyreport.EvaluateBurn(day)
	if r.Output == "json" {
		return json.NewEncoder(r.stdout).Encode(burns)
	}
	return reportpage.WriteBurnText(r.stdout, burns, day.Until)
}
