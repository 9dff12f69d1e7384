// Package cvcheckpoint chooses a checkpoint when a stream no longer holds the next record.
package cvcheckpoint

import "comfreyvale"

// Selector chooses among checkpoints of one type. It is safe for concurrent use if Decode is.
type Selector[C any] struct {
	// Decode returns the checkpoint in a record and the first offset that it does not cover, or 0 for a record without a
	// checkpoint.
	Decode func(body []byte) (checkpoint C, offset int64)
}

// Choose returns the checkpoint with the highest offset, as a delayed writer may append an older one after a newer one.
// It ignores a checkpoint if the stream no longer holds the records from its offset on, and one that claims to cover
// its own record or later ones.
func (s *Selector[C]) Choose(batch comfreyvale.Batch) (best C, found bool) {
	highest := int64(0)
	for _, record := range batch.Records() {
		checkpoint, offset := s.Decode(record.Body())
		usable := offset >= batch.StreamFirst() && offset <= record.Offset()
		if usable && offset > highest {
			best, highest = checkpoint, offset
		}
	}
	return best, highest > 0
}
