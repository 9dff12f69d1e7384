// Package cvrun is the stand-in upstream's record of one request that it ran.
package cvrun

// Run is one request that an upstream ran, as JSON.
type Run struct {
	// Key is the request's idempotency key, or empty.
	Key string `json:"key"`
	// Tag is the request's own mark, as sent in X-Tag.
	Tag string `json:"tag"`
	// Method is the request's method.
	Method string `json:"method"`
	// Upstream is the name of the upstream that ran it.
	Upstream string `json:"upstream"`
	// Completed says that the request ran to its end.
	Completed bool `json:"ended"`
}
