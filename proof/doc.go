// Package proof implements tests and benchmarks that run the programs on loopback and check responses under faults.
package proof
