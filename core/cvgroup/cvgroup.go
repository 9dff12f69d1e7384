// Package cvgroup is what the configuration says of one group of upstreams.
package cvgroup

// Group is a set of upstreams that serve the same requests.
type Group struct {
	name        string
	healthPath  string
	connections int
}

// New returns a group. Connections is how many one upstream accepts from all balancers together.
func New(name, healthPath string, connections int) Group {
	return Group{name: name, healthPath: healthPath, connections: connections}
}

// Name is the group's name.
func (g Group) Name() string { return g.name }

// HealthPath is the path at which an upstream tells its health.
func (g Group) HealthPath() string { return g.healthPath }

// MaxConnections is how many connections one upstream accepts from all balancers together.
func (g Group) MaxConnections() int { return g.connections }
