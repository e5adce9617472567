// Package peerpb contains the generated code of the protocol between nodes.
//
// After a change of peer.proto, regenerate it with the command below, which requires
// protoc and the two plugins that cmd/go.mod declares as tools.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
