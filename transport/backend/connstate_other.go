//go:build !linux

package backend

// readSocketState returns the zero value, because the state is not read on this platform.
func readSocketState(uintptr) connState { return connState{} }
