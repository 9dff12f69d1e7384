// Package cvboundedbody reads bodies of responses up to a limit, beyond which a server in trouble may send without end.
package cvboundedbody

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Read reads a body to its end. It returns an error if the body is longer than limit bytes.
func Read(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errors.Errorf("the body is longer than %d bytes", limit)
	}
	return content, nil
}

// Decoder decodes bodies in JSON.
type Decoder struct {
	// Limit is the maximum length of a body in bytes.
	Limit int64
}

// Decode decodes the body of a response into result.
func (d Decoder) Decode(response *http.Response, result any) error {
	content, err := Read(response.Body, d.Limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, result)
}
