// Package cvgroup defines the configuration of a group of upstreams.
package cvgroup

// Group is a set of upstreams that serve the same requests.
type Group struct {
	name           string
	healthPath     string
	maxConnections int
}

// New returns a group of upstreams.
func New(name, healthPath string, maxConnections int) Group {
	return Group{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// Name returns the name of the group.
func (g Group) Name() string { return g.name }

// HealthPath returns the path of the health check of an upstream.
func (g Group) HealthPath() string { return g.healthPath }

// MaxConnections returns the number of connections that one upstream accepts from all balancers together.
func (g Group) MaxConnections() int { return g.maxConnections }
