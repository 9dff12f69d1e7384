// Package cvstatus defines the JSON status of a balancer for operators.
package cvstatus

import "comfreyvale/core/cvservicestatus"

// Status is the status of one balancer.
type Status struct {
	// VM is the name of the VM of the balancer.
	VM string `json:"vm"`
	// DataCentre is the name of the data centre of the VM.
	DataCentre string `json:"dataCentre"`
	// Incarnation identifies the process of the balancer in the roster; it changes with each restart.
	Incarnation string `json:"incarnation"`
	// Generation is the log offset of the configuration in force, or 0 if there is none.
	Generation int64 `json:"generation"`
	// NextOffset is the first offset of the configuration stream that is not applied yet.
	NextOffset int64 `json:"through"`
	// Confirmed reports whether the balancer has reached the end of the configuration stream since its start.
	Confirmed bool `json:"confirmed"`
	// Epoch is the epoch of the roster in force.
	Epoch int64 `json:"epoch"`
	// Members lists the balancers of the roster.
	Members []string `json:"members"`
	// Linked lists the balancers to which this balancer has a connection.
	Linked []string `json:"linked"`
	// Claims is the number of claims that this balancer stores as the home of their keys.
	Claims int `json:"claims"`
	// Stopping reports whether the balancer is shutting down.
	Stopping bool `json:"stopping"`
	// InFlight is the number of requests in flight.
	InFlight int64 `json:"inFlight"`
	// Services holds the status of each service.
	Services []cvservicestatus.Status `json:"services"`
	// Quarantines lists the fingerprints of quarantined requests.
	Quarantines []string `json:"quarantines"`
}
