package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/protocol/hostlist"
	"github.com/persimmonmux/persimmonmux/standin/engine"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// An engineCommand holds the flags of the command that runs a stand-in model engine.
type engineCommand struct {
	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Platform      string        `long:"platform" description:"base address of the platform's weight store; empty loads at once"`
	Slots         int           `long:"slots" default:"8" description:"adapters held"`
	BatchSize     int           `long:"batch-size" default:"32" description:"requests run at the same time"`
	TokenInterval time.Duration `long:"token-interval" default:"20ms" description:"time between the tokens of a request"`
	Tokens        int           `long:"tokens" default:"64" description:"tokens of an answer without max_tokens"`
	Fencing       string        `long:"fencing" choice:"enforced" choice:"ignored" default:"enforced" description:"what is done with old fencing numbers"`
	ReportLag     time.Duration `long:"report-lag" default:"1s" description:"age of the load figures"`
	KeepAlive     time.Duration `long:"keep-alive" default:"1s" description:"interval of comments in a stream without tokens"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the faults"`
	Faults        engine.Faults `group:"faults" namespace:"fault"`

	logger zerolog.Logger
}

// Execute runs the engine until the process receives SIGINT or SIGTERM. It fails if the
// slots, the batch size or the token interval is not positive.
func (c *engineCommand) Execute([]string) error {
	if c.Slots < 1 || c.BatchSize < 1 || c.TokenInterval <= 0 {
		return fmt.Errorf("slots %d, batch size %d, token interval %s: must be positive", c.Slots, c.BatchSize, c.TokenInterval)
	}
	settings := engine.Settings{
		Slots:         c.Slots,
		BatchSize:     c.BatchSize,
		TokenInterval: c.TokenInterval,
		Tokens:        c.Tokens,
		Fencing:       fleet.FencingMode(c.Fencing),
		ReportLag:     c.ReportLag,
		KeepAlive:     c.KeepAlive,
		Seed:          c.Seed,
	}
	if c.Platform != "" {
		settings.Weights = remoteWeightStore{address: c.Platform}
	}
	e := engine.New(settings)
	e.SetFaults(c.Faults)
	err := serve(c.logger.With().Uint64("seed", c.Seed).Logger(), c.Listen, e)
	if closeErr := e.Close(); err == nil {
		err = closeErr
	}
	return err
}

// A remoteWeightStore fetches weights from the platform in another process.
type remoteWeightStore struct {
	// address is the base URL of the platform.
	address string
}

// Fetch requests from the platform the weights of an adapter version and returns after the
// platform has reported the end of the transfer. Any status but 200 is an error.
func (s remoteWeightStore) Fetch(ctx context.Context, adapter string) error {
	body, err := json.Marshal(hostlist.WeightsRequest{Adapter: adapter})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.address+hostlist.PathWeights, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d, expected 200", answer.StatusCode)
	}
	return nil
}
