// Package soak implements tests that run balancer processes under random faults and check what callers and upstreams see.
package soak
