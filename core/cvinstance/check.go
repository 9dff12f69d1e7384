package cvinstance

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvprintable"
)

const (
	// maxSlots is far more than one upstream runs at a time.
	maxSlots = 1 << 16
	// MaxWarmUp is far longer than an upstream is slow after its start.
	MaxWarmUp = time.Hour
	// clockTolerance is how far the clocks of VMs may differ.
	clockTolerance = time.Hour
	// maxShownBytes limits a value in an error.
	maxShownBytes = 40
)

type fault struct{ cvfault.Fault }

func outOfBounds(field string, value any) error {
	return fault{cvfault.New("check entry", comfreyvale.KindInvalid, errors.Errorf("%s %v is out of bounds", field, value))}
}

// Check returns an error of KindInvalid with the field and its value if the instance names no usable upstream, or if its
// start or its sequence number would supersede all later reports of the upstream. Only the data centre may be empty.
func (i *Instance) Check(now time.Time) error {
	for _, n := range []struct{ field, value string }{{"id", i.id}, {"group", i.group}, {"data centre", i.dataCentre}} {
		if n.value == "" && n.field == "data centre" {
			continue
		}
		if !cvprintable.IsName(n.value) {
			return outOfBounds(n.field, cvprintable.Shorten(n.value, maxShownBytes))
		}
	}
	if address, err := netip.ParseAddrPort(i.address); err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return outOfBounds("address", cvprintable.Shorten(i.address, maxShownBytes))
	}
	if i.slots < 1 || i.slots > maxSlots {
		return outOfBounds("slots", i.slots)
	}
	if i.warmUp < 0 || i.warmUp > MaxWarmUp {
		return outOfBounds("warm-up", i.warmUp)
	}
	latest := now.Add(clockTolerance).UnixMilli()
	if i.startUnixMilli < 0 || i.startUnixMilli > latest {
		return outOfBounds("start in Unix milliseconds", i.startUnixMilli)
	}
	// An upstream reports less than once a millisecond.
	if i.sequence < 0 || i.sequence > latest-i.startUnixMilli {
		return outOfBounds("sequence number", i.sequence)
	}
	return nil
}
