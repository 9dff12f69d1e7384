// Package cvservicestatus is the description of a service in one balancer that operators read.
package cvservicestatus

// Status is what a balancer says of one service, as JSON.
type Status struct {
	// Name is the service's name.
	Name string `json:"name"`
	// Upstreams are the names of the upstreams known.
	Upstreams []string `json:"upstreams"`
	// Ejected are the upstreams that get no calls because of failures.
	Ejected []string `json:"ejected"`
	// Draining are the upstreams that get no calls because they are leaving.
	Draining []string `json:"draining"`
	// Calls is the number of calls begun.
	Calls int64 `json:"calls"`
	// Tries is the number of tries ended.
	Tries int64 `json:"tries"`
	// Waiting is the number of calls in the queue.
	Waiting int `json:"waiting"`
}
