// Package cvtail is the reading of all that a stream of the platform's log still keeps.
package cvtail

import (
	"context"

	"comfreyvale"
)

// Tail reads one stream.
type Tail struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// Stream is the stream's name.
	Stream string
}

// ReadToEnd returns a batch together with all records that follow it, up to the head of the stream.
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
