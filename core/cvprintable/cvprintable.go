// Package cvprintable checks and shortens texts of other systems before they reach headers, logs and messages.
package cvprintable

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the maximum length of a name in bytes. The platform's keys are no longer.
const MaxNameBytes = 255

// IsName reports whether a text can be a name: valid UTF-8 of printable characters, neither empty nor longer than
// MaxNameBytes.
func IsName(text string) bool {
	return text != "" && len(text) <= MaxNameBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, isUnprintable)
}

// utf8.RuneError stands for bytes that a decoder could not read.
func isUnprintable(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }

// Shorten returns the first bytes of a text for logs and errors, without unprintable characters.
func Shorten(text string, maxBytes int) string {
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return strings.Map(func(r rune) rune {
		if isUnprintable(r) {
			return utf8.RuneError
		}
		return r
	}, text)
}
