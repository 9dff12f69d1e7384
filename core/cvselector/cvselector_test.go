package cvselector_test

import (
	"flag"
	"fmt"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvupstreamstate"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

func instance(n int, dataCentre string, draining bool) *cvinstance.Instance {
	return cvinstance.New(fmt.Sprint(n), "g", fmt.Sprintf("10.0.0.%d:80", n), dataCentre, 4).WithState(draining, 0)
}

func requirements() cvrequirements.Requirements {
	return cvrequirements.New(start.Add(time.Minute), start.Add(time.Hour), 0, false).WithServiceTime(100 * time.Millisecond)
}

func selector(now time.Time, instances ...*cvinstance.Instance) *cvselector.Selector {
	s := &cvselector.Selector{DataCentre: "near"}
	s.Update(now, instances)
	return s
}

// finishAttempt sends one request to upstream "0", of at most three, and ends it with a result.
func finishAttempt(s *cvselector.Selector, result comfreyvale.Result) {
	i, _ := s.Pick(start, 1, requirements().WithAvoid([]string{"1", "2"}))
	s.Done(start, i.ID(), start, result)
}

// reportSlowness records a peer's report of an idle upstream.
func reportSlowness(s *cvselector.Selector, id string, slowness float64, age time.Duration) {
	s.RecordPeerReport(start, id, cvupstreamstate.New(0).WithLoad(0, age).WithSlowness(slowness, age))
}
