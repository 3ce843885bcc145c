// Package wire contains the messages between processes and the schemas of the project's JSON formats, generated from
// the .proto files in this folder.
package wire

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto openai.proto lots.proto
