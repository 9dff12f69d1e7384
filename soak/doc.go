// Package soak provides tests that inject random faults into balancer processes and check what callers and upstreams observe.
package soak
