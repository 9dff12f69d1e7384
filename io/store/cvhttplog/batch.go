package cvhttplog

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"comfreyvale"
)

const (
	// maxBatchBytes is the size of a response behind which further records are left to the next read.
	maxBatchBytes = 4 << 20
	// maxRecordBytes limits a record in a response. The service accepts 4 MiB, which base64 makes a third longer.
	maxRecordBytes = 8 << 20
)

type readRecord struct {
	Offset int64  `json:"offset"`
	Body   []byte `json:"body"`
}

// batchDecoder decodes the response to a read record by record, so that no more than maxBatchBytes and one record are held.
type batchDecoder struct {
	json *json.Decoder

	first, next       int64
	hasFirst, hasNext bool
	records           []comfreyvale.Record
	// full is true once maxBatchBytes were decoded.
	full bool
}

// decodeBatch returns the records of a response, or the first of them if it is longer than maxBatchBytes: readers go on
// with the next record as long as they have not reached the end of the stream.
func decodeBatch(body io.Reader) (comfreyvale.Batch, error) {
	limited := io.LimitReader(body, maxBatchBytes+maxRecordBytes)
	d := &batchDecoder{json: json.NewDecoder(limited)}
	if err := d.decode(); err != nil {
		return comfreyvale.Batch{}, err
	}
	return comfreyvale.NewBatch(d.first, d.next, d.records), nil
}

func (d *batchDecoder) decode() error {
	if err := d.expect('{'); err != nil {
		return err
	}
	for d.json.More() && !d.full {
		name, err := d.json.Token()
		if err != nil {
			return err
		}
		if err := d.decodeField(name); err != nil {
			return err
		}
	}
	if !d.full {
		if err := d.expect('}'); err != nil {
			return err
		}
	}
	if d.full && (!d.hasFirst || !d.hasNext) {
		return errors.New("the response lacks the first or the next offset of the stream")
	}
	return nil
}

func (d *batchDecoder) decodeField(name json.Token) error {
	switch name {
	case "first":
		d.hasFirst = true
		return d.json.Decode(&d.first)
	case "next":
		d.hasNext = true
		return d.json.Decode(&d.next)
	case "records":
		return d.decodeRecords()
	}
	var ignored json.RawMessage
	return d.json.Decode(&ignored)
}

func (d *batchDecoder) decodeRecords() error {
	start, err := d.json.Token()
	// The list is null if there are no records.
	if err != nil || start == nil {
		return err
	}
	if start != json.Delim('[') {
		return errors.Errorf("the records begin with %v", start)
	}
	for d.json.More() {
		if d.json.InputOffset() > maxBatchBytes {
			d.full = true
			return nil
		}
		var r readRecord
		if err := d.json.Decode(&r); err != nil {
			return err
		}
		d.records = append(d.records, comfreyvale.NewRecord(r.Offset, r.Body))
	}
	return d.expect(']')
}

func (d *batchDecoder) expect(want json.Delim) error {
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	if token != want {
		return errors.Errorf("the response holds %v instead of %v", token, want)
	}
	return nil
}
