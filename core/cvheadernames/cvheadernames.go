// Package cvheadernames is the names of the headers by which a deployment's callers and upstreams speak.
package cvheadernames

import "comfreyvale/core/cvloadreport"

// Names names the headers of one deployment. An empty name is a header that the deployment does not have.
type Names struct {
	// RequestID carries the caller's id of a request, and is echoed by upstreams.
	RequestID string
	// Deadline carries the milliseconds that the caller, or the upstream, has left.
	Deadline string
	// Instance names the upstream instance that a request is meant for.
	Instance string
	// NotRun is an upstream's statement that it did not run the request.
	NotRun string
	// Load is an upstream's report of its load.
	Load string
	// Signature marks an answer as made by an upstream.
	Signature string
	// ParseLoad reads the value of the Load header.
	ParseLoad func(value string) (cvloadreport.Report, bool)
}
