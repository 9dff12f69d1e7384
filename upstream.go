package comfreyvale

import (
	"context"
	"net/http"
)

// Exchanger sends requests to upstreams.
type Exchanger interface {
	// Exchange sends a request to an upstream and returns the response once its headers arrived. The caller reads and
	// closes the body. An error of KindUnavailable means that no byte of the request was sent.
	Exchange(ctx context.Context, upstream VM, request *http.Request) (*http.Response, error)
	// String returns the name of the implementation.
	String() string
}
