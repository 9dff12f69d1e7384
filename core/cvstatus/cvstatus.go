// Package cvstatus is the description of a balancer that operators read.
package cvstatus

import "comfreyvale/core/cvservicestatus"

// Status is what one balancer says of itself, as JSON.
type Status struct {
	// VM is the balancer's VM.
	VM string `json:"vm"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"dataCentre"`
	// Incarnation names the process in the roster.
	Incarnation string `json:"incarnation"`
	// Generation is the configuration in force.
	Generation int64 `json:"generation"`
	// NextOffset is the next offset of the configuration stream that was not applied.
	NextOffset int64 `json:"through"`
	// Confirmed says that the head of the log was reached since the start.
	Confirmed bool `json:"confirmed"`
	// Epoch is the roster in force.
	Epoch int64 `json:"epoch"`
	// Members are the balancers of the roster.
	Members []string `json:"members"`
	// Linked are the balancers that this one has a link to.
	Linked []string `json:"linked"`
	// Claims is the number of claims remembered as a home.
	Claims int `json:"claims"`
	// Stopping says that the balancer is leaving.
	Stopping bool `json:"stopping"`
	// InFlight is the number of calls in progress.
	InFlight int64 `json:"inFlight"`
	// Services describes each service.
	Services []cvservicestatus.Status `json:"services"`
	// Quarantines are the fingerprints of requests that are refused.
	Quarantines []string `json:"quarantines"`
}
