// Package cvwire is the generated code of the records and peer messages.
package cvwire
