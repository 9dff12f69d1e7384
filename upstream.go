package comfreyvale

import (
	"context"
	"net/http"
)

// Exchanger sends requests to upstreams.
type Exchanger interface {
	// Exchange sends a request to an upstream and returns the answer's head, its body still to be read.
	// An error of KindUnavailable means that no byte of the request was sent.
	Exchange(ctx context.Context, upstream VM, request *http.Request) (*http.Response, error)
	// String names the implementation.
	String() string
}
