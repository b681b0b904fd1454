package ownership

import (
	"context"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// EngineClient sends orders to engines. Errors of Load and Unload are
// *verdict.Error where the engine answered: NotRun means that the order was not
// and never will be carried out, Ran that it was carried out and failed. After
// any other error the order may still take effect.
type EngineClient interface {
	// Load loads an instance; loading a resident instance succeeds.
	Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error
	// Unload removes an instance. Its error has code CodeUnknownInstance when
	// the instance is not resident.
	Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error
	// Cancel ends a request. When it returns nil, the request no longer runs.
	Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error
	// ReadReport returns the engine's current start number, instances and load.
	ReadReport(ctx context.Context, engine fleet.Engine) (fleet.EngineReport, error)
}
