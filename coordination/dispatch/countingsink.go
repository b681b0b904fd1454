package dispatch

import "github.com/persimmonmux/persimmonmux/state/request"

// A countingSink passes chunks to the caller's sink and counts those that the
// caller has received. If sink is nil, the answer is not streamed, and chunks are
// dropped without being counted.
type countingSink struct {
	sink  Sink
	count int
}

// WriteChunk passes the chunk on and counts it if that succeeded.
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
