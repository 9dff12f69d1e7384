// Package cvvalues provides typed access to the checked fields of one YAML document.
package cvvalues

import (
	"fmt"
	"time"

	"comfreyvale"
)

// Values holds the fields of a document by path, with defaults for those that it leaves out. Getters return the zero
// value for an unknown path. Values is safe for concurrent use once all fields are set.
type Values struct {
	file    string
	entries map[string]entry
	lengths map[string]int
}

type entry struct {
	raw    string
	line   int
	number float64
	texts  []string
}

// New returns an empty set of values for the document in the given file.
func New(file string) *Values {
	return &Values{file: file, entries: make(map[string]entry), lengths: make(map[string]int)}
}

// Set stores a field: its value as written, its line (0 for a default), and its parsed value as number or texts.
func (v *Values) Set(path, raw string, line int, number float64, texts []string) {
	v.entries[path] = entry{raw: raw, line: line, number: number, texts: texts}
}

// SetLen stores the number of items in the list at path.
func (v *Values) SetLen(path string, length int) { v.lengths[path] = length }

// Text returns the value of a text field as written.
func (v *Values) Text(path string) string { return v.entries[path].raw }

// Texts returns the value of a field that is a list of texts.
func (v *Values) Texts(path string) []string { return v.entries[path].texts }

// Duration returns the value of a duration field.
func (v *Values) Duration(path string) time.Duration { return time.Duration(v.entries[path].number) }

// Size returns the value of a size field in bytes.
func (v *Values) Size(path string) int64 { return int64(v.entries[path].number) }

// Share returns the value of a share field as a fraction: 5% is 0.05.
func (v *Values) Share(path string) float64 { return v.entries[path].number }

// Count returns the value of a count field.
func (v *Values) Count(path string) int { return int(v.entries[path].number) }

// Number returns the value of a number field.
func (v *Values) Number(path string) float64 { return v.entries[path].number }

// Flag returns the value of a flag field.
func (v *Values) Flag(path string) bool { return v.entries[path].number != 0 }

// Len returns the number of items in the list at path.
func (v *Values) Len(path string) int { return v.lengths[path] }

// Line returns the line of a field in the file, or 0 if the field has its default value.
func (v *Values) Line(path string) int { return v.entries[path].line }

// Setting returns the path, value, file and line of a field, to be recorded with decisions.
func (v *Values) Setting(path string) comfreyvale.Setting {
	e := v.entries[path]
	value := e.raw
	if len(e.texts) > 0 {
		value = fmt.Sprint(e.texts)
	}
	return comfreyvale.NewSetting(path, value, v.file, e.line)
}
