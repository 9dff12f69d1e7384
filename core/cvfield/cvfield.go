// Package cvfield defines the description of a field of a YAML document.
package cvfield

// The kinds of field values. The reference page shows these texts.
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

// Field describes one field: its path, its valid values and its effect.
type Field struct {
	// Path is the dotted path of the field. For a field of list items, it starts with the path of the list and "[].".
	Path string
	// Kind is the kind of the value, one of the constants of this package.
	Kind string
	// Default is the value, as written in a document, of a field that the document leaves out.
	Default string
	// Required means that a document without the field is invalid.
	Required bool
	// Min and Max are the inclusive bounds of the value, as written in a document; empty means unbounded.
	Min, Max string
	// Pattern is a regular expression that must match the complete value; empty allows any value.
	Pattern string
	// Allowed describes the valid values in error messages; empty means a description made from Kind, Min and Max.
	Allowed string
	// Effect describes what the field does, for the reference page.
	Effect string
}
