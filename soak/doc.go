// Package soak plays drawn faults on real balancer processes and checks what callers and upstreams see. Its code is in its tests.
package soak
