package cvprintable_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvprintable"
)

func TestIsName(t *testing.T) {
	cases := map[string]bool{
		"i-7f3a91c2": true, "é": true, "a b": true, strings.Repeat("a", 255): true,
		"": false, strings.Repeat("a", 256): false, "a\n": false, "\x00": false, "\xff": false, "a\ufffd": false, "\u202e": false,
	}
	for text, want := range cases {
		t.Run(cvprintable.Shorten(text, 10), func(t *testing.T) { require.Equal(t, want, cvprintable.IsName(text)) })
	}
}

func TestShorten(t *testing.T) {
	cases := map[string]string{"abc": "abc", "abcdefgh": "abcde...", "a\nb": "a\ufffdb", "\xff": "\ufffd", "abcdé": "abcd\ufffd..."}
	for text, want := range cases {
		t.Run(want, func(t *testing.T) { require.Equal(t, want, cvprintable.Shorten(text, 5)) })
	}
}
