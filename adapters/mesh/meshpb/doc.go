// Package meshpb contains the generated code of the protocol between nodes that route
// by a routing table.
package meshpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative mesh.proto
