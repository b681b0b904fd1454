package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// Load loads the adapter of the instance. The error is a *verdict.Error; verdict NotRun
// proves that this order did not load the instance.
func (c *Client) Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	endCall, err := c.beginCall()
	if err != nil {
		return err
	}
	defer endCall()
	order := engineapi.LoadRequest{LoraName: instance.String(), LoraPath: instance.Adapter.String()}
	return c.sendOrder(ctx, engine, engineapi.PathLoad, order, &epoch, orDefault(c.LoadTimeout, defaultLoadTimeout))
}

// Unload removes the instance from the engine and frees its adapter slot. The error is
// a *verdict.Error; code unknown-instance means that the instance was not loaded.
func (c *Client) Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	endCall, err := c.beginCall()
	if err != nil {
		return err
	}
	defer endCall()
	order := engineapi.UnloadRequest{LoraName: instance.String()}
	return c.sendOrder(ctx, engine, engineapi.PathUnload, order, &epoch, orDefault(c.OrderTimeout, defaultOrderTimeout))
}

// Cancel stops a request on the engine. A nil error means that the request does not run
// there. The error is a *verdict.Error.
func (c *Client) Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error {
	endCall, err := c.beginCall()
	if err != nil {
		return err
	}
	defer endCall()
	return c.sendCancel(ctx, engine, request)
}

// sendCancel sends a cancel order. It is Cancel for code that has already called
// beginCall.
func (c *Client) sendCancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error {
	order := engineapi.CancelRequest{RequestID: string(request)}
	return c.sendOrder(ctx, engine, engineapi.PathCancel, order, nil, orDefault(c.OrderTimeout, defaultOrderTimeout))
}

// ReadReport returns the start number, instances and load that the engine reports. The
// error is a *verdict.Error.
func (c *Client) ReadReport(ctx context.Context, engine fleet.Engine) (fleet.EngineReport, error) {
	endCall, err := c.beginCall()
	if err != nil {
		return fleet.EngineReport{}, err
	}
	defer endCall()
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.OrderTimeout, defaultOrderTimeout))
	defer cancel()
	body, err := c.roundTrip(ctx, &c.httpClient, engine, http.MethodGet, engineapi.PathReport, nil, nil)
	if err != nil {
		return fleet.EngineReport{}, err
	}
	var report engineapi.EngineReport
	if err := json.Unmarshal(body, &report); err != nil {
		return fleet.EngineReport{}, verdict.NewMayHaveRun(verdict.CodeIncomplete, err, "engine %s: report is not valid JSON", engine.Name)
	}
	return fleet.EngineReport{
		Start:     fleet.StartNumber(report.Start),
		Instances: report.Instances,
		Running:   report.Running,
		Waiting:   report.Waiting,
	}, nil
}

// sendOrder sends an order as JSON and waits until the engine has carried it out. A
// non-nil epoch is sent as the fencing number. Its error is a *verdict.Error.
func (c *Client) sendOrder(ctx context.Context, engine fleet.Engine, path string, order any, epoch *fleet.Epoch, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	content, err := json.Marshal(order)
	if err != nil {
		return verdict.NewNotRun(verdict.CodeInternal, "engine %s: encode order: %v", engine.Name, err)
	}
	header := http.Header{"Content-Type": {contentTypeJSON}}
	if epoch != nil {
		header.Set(engineapi.HeaderFencingNumber, strconv.FormatUint(uint64(*epoch), 10))
	}
	endCall, err := c.orderClient.BeginCall()
	if err != nil {
		return errClosed()
	}
	defer endCall()
	_, err = c.roundTrip(ctx, &c.orderClient, engine, http.MethodPost, path, header, content)
	return err
}
