package site

import "time"

// An EngineEnd is the end of an engine process, with the requests that may have caused
// it.
type EngineEnd struct {
	// Engine is the process that ended, and Service the service that it belonged to.
	Engine  Incarnation
	Service ServiceName
	// Age is the time since the end was noticed.
	Age time.Duration
	// Suspects has the traits of each request whose answer had not begun when the
	// engine ended: its adapter, the parts of its prompt and others that requests may
	// share.
	Suspects [][]string
}

// SoundTraits are traits of a request whose answer an engine has begun.
type SoundTraits struct {
	// Service is the service of the engine.
	Service ServiceName
	// Traits has one or two sorted traits.
	Traits []string
	// Age is the time since the answer had begun.
	Age time.Duration
}

// A QuarantineReport is the evidence from which a host decides which requests crash
// engines. Hosts exchange it.
type QuarantineReport struct {
	// Ends are the known ends of engines, and SoundTraits the traits that they do not
	// make suspect, because an answer to such a request has begun since.
	Ends        []EngineEnd
	SoundTraits []SoundTraits
}
