// Package cvtail implements reads of a log stream up to its end.
package cvtail

import (
	"context"

	"comfreyvale"
)

// Tail reads one stream. It is safe for concurrent use.
type Tail struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// Stream is the name of the stream.
	Stream string
}

// ReadToEnd returns the records of a batch and all later ones up to the end of the stream.
func (t *Tail) ReadToEnd(ctx context.Context, batch comfreyvale.Batch) (comfreyvale.Batch, error) {
	records := batch.Records()
	for len(records) > 0 && records[len(records)-1].Offset()+1 < batch.StreamNext() {
		more, err := t.Log.Read(ctx, t.Stream, records[len(records)-1].Offset()+1, 0)
		if err != nil {
			return batch, err
		}
		if len(more.Records()) == 0 {
			break
		}
		records = append(records, more.Records()...)
		batch = more
	}
	return comfreyvale.NewBatch(batch.StreamFirst(), batch.StreamNext(), records), nil
}
