// Package peerpb holds the generated code of the protocol between nodes.
//
// Regenerate it after a change of peer.proto with the command below; it needs
// protoc and the two plug-ins that cmd/go.mod declares as tools.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
