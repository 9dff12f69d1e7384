// Package comfreyvale is the catalogue of the load balancer's interfaces and of the messages they carry.
package comfreyvale
