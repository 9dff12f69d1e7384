// Package cvvalues is the checked content of one YAML document.
package cvvalues

import (
	"fmt"
	"time"

	"comfreyvale"
)

// Values holds the fields of a document by path. Fields that were left out hold their defaults.
type Values struct {
	file    string
	entries map[string]entry
	lengths map[string]int
}

type entry struct {
	written string
	line    int
	number  float64
	texts   []string
}

// New returns empty values of a file.
func New(file string) *Values {
	return &Values{file: file, entries: make(map[string]entry), lengths: make(map[string]int)}
}

// Set stores the value of a field as written, its line (0 for a default), and its number or texts.
func (v *Values) Set(path, written string, line int, number float64, texts []string) {
	v.entries[path] = entry{written: written, line: line, number: number, texts: texts}
}

// SetLen stores the number of items of a list.
func (v *Values) SetLen(path string, length int) { v.lengths[path] = length }

// Text returns a text field.
func (v *Values) Text(path string) string { return v.entries[path].written }

// Texts returns a field that is a list of texts.
func (v *Values) Texts(path string) []string { return v.entries[path].texts }

// Duration returns a duration field.
func (v *Values) Duration(path string) time.Duration { return time.Duration(v.entries[path].number) }

// Size returns a size field in bytes.
func (v *Values) Size(path string) int64 { return int64(v.entries[path].number) }

// Share returns a share field as a fraction: 5% is 0.05.
func (v *Values) Share(path string) float64 { return v.entries[path].number }

// Count returns a count field.
func (v *Values) Count(path string) int { return int(v.entries[path].number) }

// Number returns a number field.
func (v *Values) Number(path string) float64 { return v.entries[path].number }

// Flag returns a flag field.
func (v *Values) Flag(path string) bool { return v.entries[path].number != 0 }

// Len returns the number of items of a list.
func (v *Values) Len(path string) int { return v.lengths[path] }

// Line returns the field's line in the file, or 0 for a default.
func (v *Values) Line(path string) int { return v.entries[path].line }

// Setting points at a field, for decisions that it makes.
func (v *Values) Setting(path string) comfreyvale.Setting {
	e := v.entries[path]
	written := e.written
	if len(e.texts) > 0 {
		written = fmt.Sprint(e.texts)
	}
	return comfreyvale.NewSetting(path, written, v.file, e.line)
}
