package rpc

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
)

// A closingConnection is a drpc connection whose calls fail with the given error. If
// replies is true, a reply is decoded before.
type closingConnection struct {
	drpc.Conn

	replies bool
	err     error
}

var errEnded = errors.New("connection ended")

func (c closingConnection) Invoke(_ context.Context, _ string, encoding drpc.Encoding, _, out drpc.Message) error {
	if c.replies {
		if err := encoding.Unmarshal([]byte("reply"), out); err != nil {
			return err
		}
	}
	return c.err
}

// A textEncoding decodes into a string and returns err from Unmarshal.
type textEncoding struct{ err error }

func (textEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, nil }

func (e textEncoding) Unmarshal(data []byte, message drpc.Message) error {
	*message.(*string) = string(data)
	return e.err
}

// Guards against a call that fails although its reply was decoded, because the server
// closed the connection after the reply, and against a call that succeeds without a
// valid reply.
func TestCallSucceedsOnlyWithReply(t *testing.T) {
	errMalformed := errors.New("malformed")
	for _, test := range []struct {
		name     string
		replies  bool
		encoding textEncoding
		want     error
	}{
		{"connection ends after the reply", true, textEncoding{}, nil},
		{"connection ends without a reply", false, textEncoding{}, errEnded},
		{"malformed reply", true, textEncoding{errMalformed}, errMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			var reply string
			err := ReplyConn{Conn: closingConnection{replies: test.replies, err: errEnded}}.Invoke(context.Background(), "call", test.encoding, nil, &reply)
			qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestEndOfConnectionIsNoCancellation guards against a call that is taken for canceled
// by its caller, and therefore not made again, although its connection ended.
func TestEndOfConnectionIsNoCancellation(t *testing.T) {
	connection := ReplyConn{Conn: closingConnection{err: context.Canceled}}
	err := connection.Invoke(context.Background(), "call", textEncoding{}, nil, nil)
	qt.Check(t, err, qt.ErrorIs, ErrConnectionEnded)
	qt.Check(t, errors.Is(err, context.Canceled), qt.IsFalse)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Check(t, connection.Invoke(ctx, "call", textEncoding{}, nil, nil), qt.ErrorIs, context.Canceled)
}
