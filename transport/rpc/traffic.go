package rpc

import (
	"maps"
	"path"
	"sync"

	"storj.io/drpc"
)

// A CallCount sums up the calls of one method. Bytes are those of encoded messages, without
// the frames of the connection.
type CallCount struct {
	Calls, SentBytes, ReceivedBytes int64
}

// A Traffic counts calls by method. It is safe for concurrent use; its zero value is ready for
// use, and a nil Traffic counts nothing.
type Traffic struct {
	mutex  sync.Mutex
	counts map[string]CallCount
}

// Counts returns the counts by method name, such as Follow.
func (t *Traffic) Counts() map[string]CallCount {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.counts)
}

// add counts one call of the method with the full name.
func (t *Traffic) add(name string, encoding *countingEncoding) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]CallCount)
	}
	name = path.Base(name)
	count := t.counts[name]
	count.Calls++
	count.SentBytes += encoding.sent
	count.ReceivedBytes += encoding.received
	t.counts[name] = count
}

// A countingEncoding is an encoding that counts the bytes of messages. A new one is used for
// each call.
type countingEncoding struct {
	drpc.Encoding

	sent, received int64
}

// Marshal encodes a message that is sent.
func (e *countingEncoding) Marshal(message drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(message)
	e.sent += int64(len(data))
	return data, err
}

// Unmarshal decodes a message that was received.
func (e *countingEncoding) Unmarshal(data []byte, message drpc.Message) error {
	e.received += int64(len(data))
	return e.Encoding.Unmarshal(data, message)
}

// A CountingHandler is a drpc handler whose calls are counted.
type CountingHandler struct {
	Handler drpc.Handler
	Traffic *Traffic
}

// HandleRPC serves a call and counts it when it has ended.
func (h *CountingHandler) HandleRPC(stream drpc.Stream, name string) error {
	counted := &countingStream{Stream: stream}
	defer func() { h.Traffic.add(name, &counted.encoding) }()
	return h.Handler.HandleRPC(counted, name)
}

// A countingStream is a stream whose messages are counted. Only the goroutine that serves the
// call uses it.
type countingStream struct {
	drpc.Stream

	encoding countingEncoding
}

// MsgSend sends a message.
func (s *countingStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	s.encoding.Encoding = encoding
	return s.Stream.MsgSend(message, &s.encoding)
}

// MsgRecv receives a message.
func (s *countingStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	s.encoding.Encoding = encoding
	return s.Stream.MsgRecv(message, &s.encoding)
}
