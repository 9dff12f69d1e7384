package cvfieldlines_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvfieldlines"
	"comfreyvale/io/standins/cvmalformed"
)

// TestCheckAll guards against header lines that recipients read differently, and against refusing those that HTTP allows.
func TestCheckAll(t *testing.T) {
	valid := map[string]string{
		"a header":             "Test-Name: value",
		"no blank":             "A:b",
		"no value":             "A:",
		"blanks around":        "A: \t b \t ",
		"all other characters": "!#$%&'*+-.^_`|~09azAZ: v",
		"bytes beyond ASCII":   "A: \x80\xff",
		"a colon in the value": "A: b: c",
	}
	for _, end := range []string{"\n", "\r\n"} {
		for name, line := range valid {
			t.Run(name, func(t *testing.T) {
				require.NoError(t, cvfieldlines.CheckAll([]byte("A: b"+end+line+end+end)))
			})
		}
	}
	for name, line := range cvmalformed.Lines() {
		t.Run(name, func(t *testing.T) {
			require.Error(t, cvfieldlines.CheckAll([]byte("A: b\r\n"+line+"\r\n\r\n")))
		})
	}
}
