// Package cvrun defines the record that a stand-in upstream keeps of a request that it ran.
package cvrun

// Run describes one request that an upstream ran. It is exchanged as JSON.
type Run struct {
	// Key is the idempotency key of the request. It is empty if the request has none.
	Key string `json:"key"`
	// Tag is the value of the X-Tag header, which identifies the request in tests.
	Tag string `json:"tag"`
	// Method is the HTTP method of the request.
	Method string `json:"method"`
	// Upstream is the name of the upstream that ran the request.
	Upstream string `json:"upstream"`
	// Completed is false if the upstream crashed on the request.
	Completed bool `json:"ended"`
}
