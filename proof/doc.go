// Package proof implements tests and benchmarks that run the programs as processes on loopback, inject faults and check the responses that callers got.
package proof
