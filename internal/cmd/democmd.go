package cmd

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/demo"
)

// A demoCommand runs a small deployment with injected faults on loopback.
type demoCommand struct {
	stdout, stderr io.Writer

	Seconds    float64 `long:"seconds" default:"20" description:"how long requests are started"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of load and faults"`
	Deployment string  `long:"deployment" default:"kurswerk" choice:"kurswerk" choice:"medna-ploscha" description:"deployment to run"`
	LogLevel   string  `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of the hosts' log on standard error"`
}

// minDemoSeconds is the shortest demo in which every fault is injected and takes
// effect.
const minDemoSeconds = 8.0

func (*demoCommand) name() string  { return "demo" }
func (*demoCommand) short() string { return "Run a small deployment with faults on loopback" }
func (*demoCommand) long() string {
	return "Runs entry hosts in three failure domains of two regions, engines, plain services and a stand-in platform in one process on loopback, under mixed load and a few faults. Prints what callers saw and a line for each invariant with the number of cases. The exit code is 0 only if the stand-ins' own records show that every invariant held.\n\nExample: persimmonmux demo --seconds 10 --seed 7 --deployment medna-ploscha"
}

// Execute runs the demo. It fails when an invariant did not hold.
func (d *demoCommand) Execute([]string) error {
	if d.Seconds < minDemoSeconds {
		return errors.New("demo: --seconds must be at least 8, so that every fault has its time")
	}
	deployment, err := demo.FindDeployment(d.Deployment)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(d.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	run := &demo.Demo{
		Deployment: deployment,
		Duration:   time.Duration(d.Seconds * float64(time.Second)),
		Seed:       d.Seed,
		Output:     d.stdout,
		Progress:   terminalOrNil(d.stderr),
		Log:        zerolog.New(d.stderr).Level(level).With().Timestamp().Logger(),
	}
	return run.Run(ctx)
}

// terminalOrNil returns w if it is a terminal, and nil otherwise, so that progress
// output does not end up in files and pipes.
func terminalOrNil(w io.Writer) io.Writer {
	file, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return w
}
