package bulrushlug

import "strings"

// Field is one HTTP header field of a request or a response.
type Field struct {
	name  string // Never empty.
	value string
}

// NewField returns the header field n with value v.
func NewField(n, v string) Field { return Field{name: n, value: v} }

// Name returns the name with the case in which it was sent.
func (f Field) Name() string { return f.name }

// Value returns the value.
func (f Field) Value() string { return f.value }

// FieldValue returns the value of the first field of l called n, ignoring case, or an empty string.
func FieldValue(l []Field, n string) string {
	for _, f := range l {
		if strings.EqualFold(f.name, n) {
			return f.value
		}
	}
	return ""
}
