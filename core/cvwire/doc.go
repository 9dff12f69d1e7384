// Package cvwire provides the generated Protobuf types of log records and peer messages.
package cvwire
