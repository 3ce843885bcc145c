// Package codec converts between the core types and the messages of package wire.
package codec

import (
	"bytes"
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Message is a pointer to a generated message of type T.
type Message[T any] interface {
	*T
	proto.Message
}

// JSON returns m as JSON with names in camel case.
func JSON(m proto.Message) ([]byte, error) {
	return protojson.Marshal(m)
}

// ParseJSON reads a message in camel case and refuses unknown fields.
func ParseJSON[T any, P Message[T]](b []byte) (P, error) {
	m := P(new(T))
	if err := protojson.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// SnakeJSON returns m as JSON with names in snake case and all fields present, as OpenAI clients expect.
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

// IndentJSON returns m as JSON for people.
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
