// Package codec converts between the core types and the protobuf messages of package wire, and encodes those as JSON.
package codec

import (
	"bytes"
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Message constrains P to a pointer to the generated protobuf message T.
type Message[T any] interface {
	*T
	proto.Message
}

// JSON encodes m as JSON with camel-case field names; fields with default values are omitted.
func JSON(m proto.Message) ([]byte, error) {
	return protojson.Marshal(m)
}

// ParseJSON decodes JSON with camel-case or snake-case field names; unknown fields are an error.
func ParseJSON[T any, P Message[T]](b []byte) (P, error) {
	m := P(new(T))
	if err := protojson.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// SnakeJSON encodes m as JSON with snake-case field names; fields with default values are included, as OpenAI clients
// expect, and unset optional ones omitted.
func SnakeJSON(m proto.Message) ([]byte, error) {
	o := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}
	b, err := o.Marshal(m)
	if err != nil {
		return nil, err
	}
	var w bytes.Buffer
	if err := json.Compact(&w, b); err != nil {
		return nil, err
	}
	return w.Bytes(), nil
}

// IndentJSON encodes m as indented JSON with camel-case field names, for people to read; fields with default values are
// included.
func IndentJSON(m proto.Message) ([]byte, error) {
	b, err := protojson.MarshalOptions{EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	var w bytes.Buffer
	if err := json.Indent(&w, b, "", "  "); err != nil {
		return nil, err
	}
	return w.Bytes(), nil
}
