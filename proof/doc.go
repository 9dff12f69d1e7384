// Package proof implements tests and benchmarks that run the programs as processes and check responses under faults.
package proof
