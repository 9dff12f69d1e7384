// Package proof runs the whole system as separate processes on loopback, breaks it, and judges what callers were told.
package proof
