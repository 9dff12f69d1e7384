// Package cvcheckpoint chooses a checkpoint when a stream no longer holds the next record.
package cvcheckpoint

import "comfreyvale"

// Selector chooses among checkpoints of one type. It is safe for concurrent use if Decode is.
type Selector[C any] struct {
	// Decode returns the checkpoint in a record and the last offset that it covers, or 0 for a record without a
	// checkpoint.
	Decode func(body []byte) (checkpoint C, offset int64)
}

// Choose returns the checkpoint that covers the highest offset, provided that the stream still holds every later
// record. found is false if there is none. Choose ignores older checkpoints, which a delayed writer may append late.
func (r *Selector[C]) Choose(batch comfreyvale.Batch) (best C, found bool) {
	highest := int64(0)
	for _, record := range batch.Records() {
		checkpoint, offset := r.Decode(record.Body())
		usable := offset >= batch.StreamFirst() && offset <= record.Offset()
		if usable && offset > highest {
			best, highest = checkpoint, offset
		}
	}
	return best, highest > 0
}
