package lease_test

import (
	"context"
	"fmt"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/standin/platform"
)

// A program holds a lease while it does work that only one process may do.
func Example() {
	manager := &lease.Manager{
		Host:   "worker-1",
		Start:  1,
		Table:  platform.NewTable(1), // any transactional table
		Events: ring.New[lease.Event](16),
	}
	go func() { _ = manager.Run(context.Background()) }()
	manager.Acquire("nightly-report", 0)

	event := <-manager.Events.Messages()
	fmt.Println(event.Name, event.Type, event.Epoch)

	// The epoch goes with each order, so that the receiver can refuse the orders
	// of an earlier holder.
	if epoch, ok := manager.Valid("nightly-report"); ok {
		fmt.Println("order with epoch", epoch)
	}

	_ = manager.Close() // releases the lease
	_, ok := manager.Valid("nightly-report")
	fmt.Println("valid:", ok)
	// Output:
	// nightly-report gained 1
	// order with epoch 1
	// valid: false
}
