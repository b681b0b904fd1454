package cmd_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/persimmonmux/persimmonmux/internal/cmd"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestMain lets scripts run persimmonmux as a process of the test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"persimmonmux": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against commands that accept malformed input, fail without a cause or a
// hint, or change their output. Each script in testdata/scripts covers one command.
func TestScripts(t *testing.T) {
	server := httptest.NewServer(&platform.Server{Objects: recordedDay(quicktest.New(t))})
	// The scripts run as parallel subtests, which end after this function returns.
	t.Cleanup(server.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"entry-host": startEntryHost,
			"platform":   setPlatform,
		},
		Setup: func(e *testscript.Env) error {
			e.Setenv("PLATFORM", server.Listener.Addr().String())
			return nil
		},
	})
}

// recordedDay returns an object store with one record a minute of hosts a and b from
// 18:00 to 18:03 on 2026-03-09. The record of host b at 18:01 is missing, so that the
// report has a gap.
func recordedDay(c *quicktest.C) *platform.ObjectStore {
	store := platform.NewObjectStore(1)
	began := time.Date(2026, 3, 9, 18, 0, 0, 0, time.UTC)
	for _, host := range []fleet.HostName{"a", "b"} {
		for minute := range 3 {
			if host == "b" && minute == 1 {
				continue
			}
			interval := began.Add(time.Duration(minute) * time.Minute)
			count := dailyreport.RequestCounts{
				Application: "campus", Kind: "enrolment", Repeat: configuration.RepeatForbidden, Objective: 0.99,
				InTime: 4, Refused: map[verdict.Code]uint64{verdict.CodeOverloaded: 1},
			}
			if host == "a" && minute == 0 {
				count.InTime = 2
				count.MayHaveRun = map[verdict.Code]uint64{verdict.CodeBackendLost: 1}
				count.UncertainRequests = []dailyreport.UncertainRequest{{Caller: "campus", ID: "id-<7>"}}
			}
			record := dailyreport.Record{
				Host: host, Start: 1, CountingSince: began, Interval: interval, From: interval, Until: interval.Add(time.Minute),
				Final: minute == 2, Counts: []dailyreport.RequestCounts{count},
			}
			value, err := json.Marshal(record)
			c.Assert(err, quicktest.IsNil)
			key := record.Key()
			c.Assert(store.Put(context.Background(), key.String(), value), quicktest.IsNil)
		}
	}
	return store
}
