package cvinstance_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvinstance"
)

// TestCheck guards against entries of another writer that name no usable upstream or hide all later reports of one.
func TestCheck(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	sound := func(id, group, address, dataCentre string, slots int) *cvinstance.Instance {
		return cvinstance.New(id, group, address, dataCentre, slots).WithSequence(now.UnixMilli()-1000, 4)
	}
	at := func(address string) *cvinstance.Instance { return sound("i", "g", address, "dc", 4) }
	good := at("10.0.0.9:80")
	started := func(start, sequence int64) *cvinstance.Instance { return good.WithSequence(start, sequence) }
	cases := map[string]struct {
		instance *cvinstance.Instance
		// problem is part of the error, or empty if there must be none.
		problem string
	}{
		"sound":                     {good, ""},
		"an IPv6 address":           {at("[fd00::1]:80"), ""},
		"no data centre":            {sound("i", "g", "10.0.0.9:80", "", 4), ""},
		"no start":                  {started(0, 3), ""},
		"a start ahead of our time": {started(now.UnixMilli()+5000, 1), ""},
		"no ID":                     {sound("", "g", "10.0.0.9:80", "dc", 4), "id  is out of bounds"},
		"an ID that is no UTF-8":    {sound("i\xff", "g", "10.0.0.9:80", "dc", 4), "id i\ufffd is"},
		"an ID with a line break":   {sound("i\r\nA: b", "g", "10.0.0.9:80", "dc", 4), "id i\ufffd\ufffdA: b is"},
		"an ID too long":            {sound(strings.Repeat("i", 256), "g", "10.0.0.9:80", "dc", 4), "id " + strings.Repeat("i", 40) + "... is"},
		"a group with a zero byte":  {sound("i", "g\x00", "10.0.0.9:80", "dc", 4), "group"},
		"a data centre, as above":   {sound("i", "g", "10.0.0.9:80", "d\x00", 4), "data centre"},
		"no port":                   {at("10.0.0.9"), "address 10.0.0.9 is"},
		"port 0":                    {at("10.0.0.9:0"), "address"},
		"port 99999":                {at("10.0.0.9:99999"), "address"},
		"port -1":                   {at("10.0.0.9:-1"), "address"},
		"port 2^64+1":               {at("10.0.0.9:18446744073709551617"), "address"},
		"a zero byte":               {at("10.0.0.9\x00:80"), "address"},
		"a name":                    {at("server:80"), "address"},
		"an address with a zone":    {at("[fe80::1%eth0]:80"), "address"},
		"no slots":                  {sound("i", "g", "10.0.0.9:80", "dc", 0), "slots 0 is"},
		"2^32 slots":                {sound("i", "g", "10.0.0.9:80", "dc", 1<<32), "slots 4294967296 is"},
		"2^62 slots":                {sound("i", "g", "10.0.0.9:80", "dc", 1<<62), "slots"},
		"a warm-up below 0":         {good.WithState(false, -1), "warm-up"},
		"the longest warm-up":       {good.WithState(false, math.MaxInt64), "warm-up"},
		"the latest start":          {started(math.MaxInt64, 1), "start"},
		"the earliest start":        {started(math.MinInt64, 1), "start"},
		"a start tomorrow":          {started(now.UnixMilli()+86_400_000, 1), "start"},
		"a number below 0":          {started(now.UnixMilli(), -1), "sequence number -1 is"},
		"the highest number":        {started(now.UnixMilli()-1000, math.MaxInt64), "sequence number"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := c.instance.Check(now)
			if c.problem == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, comfreyvale.KindInvalid, cvfault.KindOf(err))
			require.ErrorContains(t, err, c.problem)
		})
	}
}
