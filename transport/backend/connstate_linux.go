package backend

import "golang.org/x/sys/unix"

// tcpClose is the state of a connection that was reset (TCP_CLOSE). After an orderly end of the
// other side, the state is TCP_CLOSE_WAIT.
const tcpClose = 7

// readSocketState returns the state of the connection of an open socket. A query that fails leaves
// its field at zero.
func readSocketState(descriptor uintptr) connState {
	var state connState
	if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
		state.isReset = info.State == tcpClose
	}
	if unacknowledged, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
		state.unacknowledgedBytes = unacknowledged
	}
	return state
}
