// Package soak implements tests that inject random faults and check what callers and upstreams of balancers observe.
package soak
