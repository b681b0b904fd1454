// Package platform has the HTTP client of the platform's table, object store and
// host list.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/platformstore"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// defaultLimit bounds one operation, so that a silent connection does not
	// use up a lease of 10 s.
	defaultLimit = 2 * time.Second
	// maximumBody bounds an answer, in bytes.
	maximumBody = 64 << 20
)

// errTooLarge is returned for an answer beyond maximumBody.
var errTooLarge = errors.New("answer is too large")

// A Client calls the platform. Its fields are set before use; zero limits mean
// the defaults. It may be used by many goroutines.
type Client struct {
	// Address is the base address, such as "http://127.0.0.1:7000".
	Address string
	// DialLimit bounds a connection attempt.
	DialLimit time.Duration
	// Limit bounds one operation.
	Limit time.Duration

	once        sync.Once
	connections backend.Connections
}

// Close refuses new calls, waits for the calls in flight and closes all
// connections.
func (c *Client) Close() error {
	return c.connections.Close()
}

// Read returns the records of keys in their order. Absent records have version 0.
// Its error wraps table.ErrUnavailable.
func (c *Client) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	var answer platformstore.RecordsAnswer
	_, err := c.post(ctx, platformstore.PathRead, platformstore.ReadRequest{Keys: keys}, &answer)
	if err == nil && len(answer.Records) != len(keys) {
		err = fmt.Errorf("answer has %d records", len(answer.Records))
	}
	if err != nil {
		return nil, fmt.Errorf("read %d keys: %w: %w", len(keys), table.ErrUnavailable, err)
	}
	return answer.Records, nil
}

// Scan returns up to limit records whose keys have the prefix and sort after the
// given key, in rising order. Its error wraps table.ErrUnavailable.
func (c *Client) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error) {
	var answer platformstore.RecordsAnswer
	request := platformstore.ScanRequest{Prefix: prefix, After: after, Limit: limit}
	if _, err := c.post(ctx, platformstore.PathScan, request, &answer); err != nil {
		return nil, fmt.Errorf("scan %s: %w: %w", prefix, table.ErrUnavailable, err)
	}
	return answer.Records, nil
}

// Commit carries out a transaction. Its error wraps table.ErrUnavailable if
// there is proof that nothing was written, and table.ErrUnknown otherwise.
func (c *Client) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	var answer platformstore.CommitAnswer
	proved, err := c.post(ctx, platformstore.PathCommit, transaction, &answer)
	if err == nil && len(answer.Results) != len(transaction.Writes) {
		err = fmt.Errorf("answer has %d results for %d writes", len(answer.Results), len(transaction.Writes))
	}
	switch {
	case err == nil:
		return answer.Results, nil
	case proved:
		return nil, fmt.Errorf("commit: %w: %w", table.ErrUnavailable, err)
	default:
		return nil, fmt.Errorf("commit: %w: %w", table.ErrUnknown, err)
	}
}

// Put replaces the object. After an error it may or may not be replaced, and Put
// may be repeated.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	if _, _, err := c.exchange(ctx, http.MethodPut, object(key), value); err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}
	return nil
}

// Get returns the object and whether it exists.
func (c *Client) Get(ctx context.Context, key string) (value []byte, found bool, err error) {
	value, _, err = c.exchange(ctx, http.MethodGet, object(key), nil)
	var refused *refusal
	if errors.As(err, &refused) && refused.code == platformstore.CodeNotFound {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("get object %s: %w", key, err)
	}
	return value, true, nil
}

// List returns up to limit keys of objects that have the prefix and sort after
// the given key, in rising order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer platformstore.ObjectsAnswer
	if err := c.get(ctx, platformstore.PathObjects+"?"+query.Encode(), &answer); err != nil {
		return nil, fmt.Errorf("list objects %s: %w", prefix, err)
	}
	return answer.Keys, nil
}

// Listing returns the host list, which lags behind reality. Entry hosts and
// backend servers that the platform does not list are gone.
func (c *Client) Listing(ctx context.Context) (fleet.Listing, error) {
	var answer platformstore.HostsAnswer
	if err := c.get(ctx, platformstore.PathHosts, &answer); err != nil {
		return fleet.Listing{}, err
	}
	var listing fleet.Listing
	for _, listed := range answer.Hosts {
		if listed.Role == fleet.RoleBackend {
			listing.Servers = append(listing.Servers, fleet.ListedServer{
				Name:  listed.Name,
				Start: listed.Start,
				State: listed.State,
			})
			continue
		}
		listing.Hosts = append(listing.Hosts, fleet.Host{
			Name:        fleet.HostName(listed.Name),
			Start:       listed.Start,
			Domain:      listed.Domain,
			PeerAddress: listed.Address,
			State:       listed.State,
		})
	}
	return listing, nil
}

func object(key string) string {
	return platformstore.PathObjects + "/" + url.PathEscape(key)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	body, _, err := c.exchange(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// post reports with an error whether there is proof that nothing was done.
func (c *Client) post(ctx context.Context, path string, value, into any) (proved bool, err error) {
	content, err := json.Marshal(value)
	if err != nil {
		return true, err
	}
	body, proved, err := c.exchange(ctx, http.MethodPost, path, content)
	if err != nil {
		return proved, err
	}
	return false, json.Unmarshal(body, into)
}

// exchange makes one try. With an error, proved says that nothing was done.
func (c *Client) exchange(ctx context.Context, method, path string, content []byte) (body []byte, proved bool, err error) {
	c.once.Do(func() { c.connections.DialLimit = c.DialLimit })
	leave, err := c.connections.Enter()
	if err != nil {
		return nil, true, err
	}
	defer leave()
	limit := c.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := backend.NewRequest(ctx, method, c.Address+path, content)
	if err != nil {
		return nil, true, err
	}
	answer, wrote, err := c.connections.Send(r)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.connections.DropIdle()
		}
		return nil, !wrote, err
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	body, err = io.ReadAll(io.LimitReader(answer.Body, maximumBody+1))
	if err == nil && len(body) > maximumBody {
		err = errTooLarge
	}
	if err != nil {
		return nil, false, err
	}
	if answer.StatusCode != http.StatusOK {
		refused := refuse(answer.StatusCode, body)
		return nil, refused.code == platformstore.CodeUnavailable || refused.code == platformstore.CodeMalformed, refused
	}
	return body, false, nil
}
