// Package cvfield is the description of one field of a YAML document.
package cvfield

// The kinds of value that a field can hold.
const (
	Text     = "text"
	Texts    = "list of texts"
	Duration = "duration"
	Size     = "size"
	Share    = "share"
	Count    = "count"
	Number   = "number"
	Flag     = "flag"
	List     = "list"
)

// Field describes one field: where it stands, what it may hold and what it does.
type Field struct {
	// Path is the field's place; items of a list stand below the list's path and "[]".
	Path string
	// Kind is one of the kinds above.
	Kind string
	// Default is the value, as it would be written, of a field that is left out.
	Default string
	// Required refuses a document without the field.
	Required bool
	// Min and Max bound the value as they would be written, both inclusive; empty means unbounded.
	Min, Max string
	// Pattern is a regular expression that a text must match as a whole; empty allows any text.
	Pattern string
	// Allowed says in words what a text may be, for error messages.
	Allowed string
	// Effect says what the field does, for the reference page.
	Effect string
}
