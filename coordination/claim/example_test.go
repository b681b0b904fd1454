package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/coordination/claim"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// noPeers is a PeerClient for a deployment with a single host.
type noPeers struct{}

func (noPeers) ClaimStatus(context.Context, fleet.HostName, fleet.StartNumber, booking.Key, booking.ClaimToken) (booking.ClaimStatus, error) {
	return booking.StatusUnknown, nil
}

// A program claims a reservation before sending it and records the outcome. A second
// attempt with the same request id gets the recorded outcome.
func Example() {
	registry := &claim.Registry{Host: "entry-1", Start: 1, Table: platform.NewTable(1), Peers: noPeers{}}
	go func() { _ = registry.Run(context.Background()) }()
	defer func() { _ = registry.Close() }()

	reserve := &request.Request{
		ID:          fleet.RequestID(uuid.Must(uuid.NewV7()).String()),
		Application: "yard",
		Caller:      "roofer-7",
		Deadline:    time.Now().Add(5 * time.Second),
	}
	for range 2 {
		handle, outcome, err := registry.Claim(context.Background(), reserve)
		if err != nil {
			fmt.Println("refused:", verdict.FromError(err).Verdict)
			return
		}
		if outcome != nil {
			fmt.Println("recorded:", outcome.Verdict, string(outcome.Response.Body))
			continue
		}
		response := request.Response{Status: 200, Body: []byte(`{"reserved":3}`)}
		fmt.Println("ran:", string(response.Body))
		err = registry.Resolve(context.Background(), handle, booking.Outcome{Verdict: verdict.Ran, Response: &response})
		if err != nil {
			fmt.Println("not recorded:", err)
		}
	}
	// Output:
	// ran: {"reserved":3}
	// recorded: ran {"reserved":3}
}
