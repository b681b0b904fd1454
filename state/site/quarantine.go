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
	// Suspects has the prompt parts of each request whose answer had not begun when
	// the engine ended.
	Suspects [][]string
}

// A SoundPart is a prompt part of a request whose answer an engine has begun.
type SoundPart struct {
	// Service is the service of the engine, and Part the id of the prompt part.
	Service ServiceName
	Part    string
	// Age is the time since the answer had begun.
	Age time.Duration
}

// A QuarantineReport is the evidence from which a host decides which prompt parts crash
// engines. Hosts exchange it.
type QuarantineReport struct {
	// Ends are the known ends of engines, and SoundParts the parts that they do not
	// make suspect, because an answer has begun on them since.
	Ends       []EngineEnd
	SoundParts []SoundPart
}
