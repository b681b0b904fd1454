package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// TestRetiredConnectionCarriesNoRequest guards against a second request on a connection that has
// been retired, and against a request that is lost because it has taken such a connection.
func TestRetiredConnectionCarriesNoRequest(t *testing.T) {
	c := quicktest.New(t)
	var mutex sync.Mutex
	requests := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		requests[r.RemoteAddr]++
		_, _ = w.Write([]byte("answer"))
	}))
	defer server.Close()
	pool := &Client{}
	defer pool.Close()
	const count = 200
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range count / 4 {
				c.Check(sendAndRetire(pool, server.URL), quicktest.IsNil)
			}
		})
	}
	group.Wait()
	c.Check(len(requests), quicktest.Equals, count)
}

// sendAndRetire sends a request and retires the connection of its response.
func sendAndRetire(pool *Client, url string) error {
	endCall, err := pool.BeginCall()
	if err != nil {
		return err
	}
	defer endCall()
	r, err := NewRequest(context.Background(), http.MethodPost, url, []byte("{}"))
	if err != nil {
		return err
	}
	response, _, err := pool.Send(r)
	if err != nil {
		return err
	}
	response.Retire()
	defer response.Body.Close()
	_, err = ReadBody(response.Body, nil, 1<<10, nil)
	return err
}
