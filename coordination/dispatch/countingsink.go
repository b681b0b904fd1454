package dispatch

import "github.com/persimmonmux/persimmonmux/state/request"

// countingSink counts the chunks that the caller has. A nil inner sink drops them.
type countingSink struct {
	sink  Sink
	count int
}

// WriteChunk passes the chunk on and counts it.
func (s *countingSink) WriteChunk(chunk request.Chunk) error {
	if s.sink == nil {
		return nil
	}
	if err := s.sink.WriteChunk(chunk); err != nil {
		return err
	}
	s.count++
	return nil
}
