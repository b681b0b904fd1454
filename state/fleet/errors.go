package fleet

import "errors"

// ErrConnectionRefused means that a host's address refused a connection, which
// proves that the process that listened there has ended. The peer client wraps it.
var ErrConnectionRefused = errors.New("connection refused")
