// Package cvservicestatus defines the JSON status of a service in one balancer for operators.
package cvservicestatus

// Status is the status of one service in one balancer.
type Status struct {
	// Name is the name of the service.
	Name string `json:"name"`
	// Upstreams lists the names of the known upstreams.
	Upstreams []string `json:"upstreams"`
	// Ejected lists the upstreams that receive no requests because of failures.
	Ejected []string `json:"ejected"`
	// Draining lists the upstreams that receive no new requests because they are shutting down.
	Draining []string `json:"draining"`
	// Calls is the number of requests started.
	Calls int64 `json:"calls"`
	// Tries is the number of attempts ended.
	Tries int64 `json:"tries"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
}
