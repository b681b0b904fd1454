package dispatch

import "github.com/persimmonmux/persimmonmux/state/request"

// countingSink counts the chunks that the caller has. A nil inner sink drops them.
type countingSink struct {
	sink  Sink
	count int
}

// Chunk passes the chunk on and counts it.
func (s *countingSink) Chunk(chunk request.Chunk) error {
	if s.sink == nil {
		return nil
	}
	if err := s.sink.Chunk(chunk); err != nil {
		return err
	}
	s.count++
	return nil
}
