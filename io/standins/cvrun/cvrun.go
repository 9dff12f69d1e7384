// Package cvrun defines the record of a request that a stand-in upstream ran.
package cvrun

// Run describes one request that an upstream ran, as exchanged in JSON.
type Run struct {
	// Key is the idempotency key, or empty.
	Key string `json:"key"`
	// Tag is the value of the X-Tag header, which identifies the request in tests.
	Tag string `json:"tag"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	// Completed is false if the upstream crashed on the request.
	Completed bool `json:"ended"`
}
