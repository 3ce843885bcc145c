package bulrushlug

import "strings"

// Field is one header field of a request or an answer.
type Field struct {
	name  string // Never empty.
	value string
}

// NewField returns the field n with value v.
func NewField(n, v string) Field { return Field{name: n, value: v} }

// Name returns the name as it was sent.
func (f Field) Name() string { return f.name }

// Value returns the value.
func (f Field) Value() string { return f.value }

// FieldValue returns the value of the first field of l called n, whatever its case.
func FieldValue(l []Field, n string) string {
	for _, f := range l {
		if strings.EqualFold(f.name, n) {
			return f.value
		}
	}
	return ""
}
