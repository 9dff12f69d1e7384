// Package comfreyvale defines the interfaces of the load balancer and the types that they exchange.
package comfreyvale
