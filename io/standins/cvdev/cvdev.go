// Package cvdev implements the embedded deployment: log, VM list, sample upstreams and two balancers in one process.
package cvdev

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/user"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvbalancer"
	"comfreyvale/io/operators/cvpublisher"
	"comfreyvale/io/operators/cvservicefiles"
	"comfreyvale/io/operators/cvsettings"
	"comfreyvale/io/standins/cvmemlist"
	"comfreyvale/io/standins/cvmemlog"
	"comfreyvale/io/standins/cvsample"
)

const (
	balancerCount = 2
	// upstreamCount is the number of upstreams in each group.
	upstreamCount = 4
	startTimeout  = 20 * time.Second
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Dev runs a deployment in one process. Set the exported fields before Run.
type Dev struct {
	// Directories are the directories with the service files.
	Directories []string
	// Out receives the progress messages and the output of the demo.
	Out io.Writer
	// Logger receives the log of the balancers.
	Logger log.Interface
	// Demo makes Run send the demo requests and return. Otherwise Run serves until ctx is done.
	Demo bool

	vmList          *cvmemlist.List
	log             *cvmemlog.Log
	groups          map[string]*cvsample.Group
	balancers       []*cvbalancer.Balancer
	callerAddresses []string
	adminAddresses  []string
}

// Run serves until ctx is done, or runs the demo. The demo's error names each request that failed or got a wrong
// response.
func (d *Dev) Run(ctx context.Context) error {
	files, err := (&cvservicefiles.Collector{Directories: d.Directories}).Collect()
	if err != nil {
		return err
	}
	d.vmList = &cvmemlist.List{}
	d.log = &cvmemlog.Log{}
	if err := d.startUpstreams(files); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	if err := d.startBalancers(ctx, group); err != nil {
		return err
	}
	group.Go(func() error {
		defer stop()
		return d.serve(ctx, files)
	})
	return group.Wait()
}

func (d *Dev) serve(ctx context.Context, files []*cvwire.ServiceFile) error {
	if err := d.publish(ctx, files); err != nil {
		return err
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	for i := range d.callerAddresses {
		fmt.Fprintf(d.Out, "balancer %d: callers http://%s, operators http://%s\n", i+1, d.callerAddresses[i], d.adminAddresses[i])
	}
	if d.Demo {
		return d.runDemo(ctx)
	}
	<-ctx.Done()
	return nil
}

func (d *Dev) startUpstreams(files []*cvwire.ServiceFile) error {
	d.groups = make(map[string]*cvsample.Group)
	for i, f := range files {
		s, err := cvservice.Parse(f.GetPath(), f.GetContent())
		if err != nil {
			return err
		}
		if d.groups[s.Group()] != nil {
			continue
		}
		g := &cvsample.Group{
			Name: s.Group(), Count: upstreamCount, Slots: s.Slots(), DataCentres: []string{"dc-1", "dc-2"},
			ConnectTime: time.Millisecond, Seed: uint64(i + 1), VMList: d.vmList,
		}
		if err := g.Start(); err != nil {
			return err
		}
		d.groups[s.Group()] = g
	}
	return nil
}

func (d *Dev) startBalancers(ctx context.Context, group *errgroup.Group) error {
	for i := range balancerCount {
		settings, err := d.newSettings(i)
		if err != nil {
			return err
		}
		b := &cvbalancer.Balancer{
			Settings: settings, Log: d.log, VMList: d.vmList,
			Logger: d.Logger.WithField("vm", settings.VM()), Tracer: noop.NewTracerProvider().Tracer(""),
		}
		d.balancers = append(d.balancers, b)
		d.callerAddresses = append(d.callerAddresses, settings.ListenAddress())
		d.adminAddresses = append(d.adminAddresses, settings.AdminAddress())
		d.vmList.Put(comfreyvale.NewVM(settings.VM(), settings.Group(), settings.DataCentre(), settings.AdminAddress(), false))
		group.Go(func() error { return b.Run(ctx) })
	}
	return nil
}

// newSettings returns settings with free ports for the balancer with the given index.
func (d *Dev) newSettings(index int) (*cvsettings.Settings, error) {
	var addresses []string
	for range 3 {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	content := fmt.Sprintf(`vm: entry-%d
dataCentre: dc-%d
listen: %s
admin: %s
peer: %s
log: {address: "http://embedded"}
vmList: {address: "http://embedded", poll: 200ms}
stop: {lag: 0s}
`, index+1, index+1, addresses[0], addresses[1], addresses[2])
	return cvsettings.Parse("embedded settings", []byte(content))
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fail("listen", comfreyvale.KindUnavailable, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (d *Dev) publish(ctx context.Context, files []*cvwire.ServiceFile) error {
	p := &cvpublisher.Publisher{Log: d.log, ID: "embedded", Author: author(), Revision: "working tree", Out: d.Out}
	publication, err := p.Prepare(ctx, time.Now(), files, nil)
	if err != nil {
		return err
	}
	offset, err := p.Publish(ctx, publication)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "published as generation %d\n", offset)
	return nil
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
