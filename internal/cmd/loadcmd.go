package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/loadgen"
)

// A loadCommand sends open-loop load to an entry host: requests start at their
// intended times whether or not earlier ones have been answered.
type loadCommand struct {
	stdout io.Writer

	Address       string        `long:"address" required:"true" value-name:"IP:PORT" description:"address of an entry host"`
	Rate          float64       `long:"rate" default:"100" description:"requests per second"`
	Duration      time.Duration `long:"duration" default:"10s" description:"how long requests are started"`
	Kinds         []string      `long:"kind" value-name:"KIND" description:"kind of request; may be given more than once"`
	Adapters      int           `long:"adapters" default:"3000" description:"number of adapters"`
	AdapterFormat string        `long:"adapter-format" default:"adapter-%05d" description:"name of an adapter by its number from 0"`
	Exponent      float64       `long:"zipf" default:"0.9" description:"Zipf exponent of the adapters' popularity"`
	Token         string        `long:"token" env:"PERSIMMONMUX_TOKEN" description:"bearer token of the application"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of arrivals, adapters and kinds"`
	Stream        bool          `long:"stream" description:"ask for streamed answers"`
	Timeout       time.Duration `long:"timeout" default:"1m" description:"how long a request waits for its answer"`
	Output        string        `long:"output" default:"table" choice:"table" choice:"json" description:"form of the report"`
}

func (*loadCommand) name() string  { return "load" }
func (*loadCommand) short() string { return "Send load to an entry host" }
func (*loadCommand) long() string {
	return "Starts requests at their intended times, whether or not earlier ones have been answered, and prints latencies counted from these times and the verdicts."
}

// Execute sends the load and prints the report. An interrupt ends it early.
func (l *loadCommand) Execute([]string) error {
	plan := loadgen.Plan{
		Address: l.Address, Rate: l.Rate, Duration: l.Duration, Kinds: l.Kinds,
		Adapters: l.Adapters, AdapterFormat: l.AdapterFormat, Exponent: l.Exponent,
		Token: l.Token, Seed: l.Seed, Stream: l.Stream, Timeout: l.Timeout,
	}
	if err := plan.Check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report := loadgen.Run(ctx, plan)
	if l.Output == "json" {
		return report.WriteJSON(l.stdout)
	}
	return report.WriteTable(l.stdout)
}
