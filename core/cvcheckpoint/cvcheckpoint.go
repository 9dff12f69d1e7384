// Package cvcheckpoint is the choice of a checkpoint when a stream no longer holds the next record.
package cvcheckpoint

import "comfreyvale"

// Selector chooses among checkpoints of one sort.
type Selector[C any] struct {
	// Decode returns the checkpoint in a record and the offset that it reaches, or 0 for a record without one.
	Decode func(body []byte) (checkpoint C, through int64)
}

// Choose returns the checkpoint that reaches furthest, if every record after it is still kept, or false when there is none.
// An older checkpoint, as a paused writer may append late, is passed over.
func (r *Selector[C]) Choose(batch comfreyvale.Batch) (best C, found bool) {
	furthest := int64(0)
	for _, record := range batch.Records() {
		checkpoint, through := r.Decode(record.Body())
		usable := through >= batch.First() && through <= record.Offset()
		if usable && through > furthest {
			best, furthest = checkpoint, through
		}
	}
	return best, furthest > 0
}
